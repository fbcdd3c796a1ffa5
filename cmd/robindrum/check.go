package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"robindrum/internal/config"
	"robindrum/internal/gateway"
)

// checkCommand returns the command that checks a configuration file.
func checkCommand() *cobra.Command {
	var path string
	var printAll bool
	c := &cobra.Command{Use: "check -c FILE", Short: "Check a configuration file", Args: noArgs,
		Long: "Check a configuration file and the resource files that it names. Each error is printed as file:line:column: field: reason.",
		RunE: func(c *cobra.Command, _ []string) error {
			conf, err := config.Load(path)
			if err != nil {
				fmt.Fprintln(c.ErrOrStderr(), err)
				return errReported
			}
			if err := gateway.CheckFiles(conf); err != nil {
				fmt.Fprintln(c.ErrOrStderr(), err)
				return errReported
			}
			for _, warning := range conf.Warnings() {
				fmt.Fprintf(c.ErrOrStderr(), "%s: warning: %s\n", path, warning)
			}
			if printAll {
				return printConfig(c.OutOrStdout(), conf)
			}
			printSummary(c.OutOrStdout(), path, conf)
			return nil
		}}
	c.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	c.Flags().BoolVar(&printAll, "print", false, "print the configuration with all defaults")
	must(c.MarkFlagRequired("config"))
	return c
}

// printConfig prints a configuration with all defaults.
func printConfig(out io.Writer, f *config.File) error {
	text, err := f.Print()
	if err != nil {
		return err
	}
	_, err = out.Write(text)
	return err
}

// printSummary prints the outcome of each loss of one or two sites, if the configuration has a site plan, and the number of listeners,
// clusters, routes and classes.
func printSummary(out io.Writer, path string, f *config.File) {
	if plan := f.SitePlan(); plan != nil {
		for _, lost := range append(plan.SingleLosses(), plan.PairLosses()...) {
			outcome := plan.Lose(lost, nil)
			fmt.Fprintf(out, "%s: %s\n", path, &outcome)
		}
	}
	fmt.Fprintf(out, "%s: %d listeners, %d clusters, %d routes, %d classes: good\n", path, len(f.Listeners), len(f.Clusters), len(f.Routes), len(f.Classes))
}
