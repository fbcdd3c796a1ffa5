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
	var show bool
	c := &cobra.Command{Use: "check -c FILE", Short: "Say whether a configuration can be used", Args: noArgs,
		Long: "Check the file, and the files of resources that it names, and give every error as file:line:column: field: reason.",
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := config.Load(path)
			if err != nil {
				fmt.Fprintln(c.ErrOrStderr(), err)
				return errReported
			}
			if err := gateway.CheckFiles(f); err != nil {
				fmt.Fprintln(c.ErrOrStderr(), err)
				return errReported
			}
			for _, w := range f.Warnings() {
				fmt.Fprintf(c.ErrOrStderr(), "%s: warning: %s\n", path, w)
			}
			if show {
				return printConfig(c.OutOrStdout(), f)
			}
			printSummary(c.OutOrStdout(), path, f)
			return nil
		}}
	c.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	c.Flags().BoolVar(&show, "print", false, "print the file with all defaults")
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

// printSummary prints the outcome of the loss of sites, where the configuration has a plan, and the size of the configuration.
func printSummary(out io.Writer, path string, f *config.File) {
	if plan := f.SitePlan(); plan != nil {
		for _, lost := range append(plan.SingleLosses(), plan.PairLosses()...) {
			outcome := plan.Lose(lost, nil)
			fmt.Fprintf(out, "%s: %s\n", path, &outcome)
		}
	}
	fmt.Fprintf(out, "%s: %d listeners, %d clusters, %d routes, %d classes: good\n", path, len(f.Listeners), len(f.Clusters), len(f.Routes), len(f.Classes))
}
