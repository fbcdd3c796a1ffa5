package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var update = flag.Bool("update", false, "rewrite the golden file of commands and flags")

// TestCommandsAndFlagsStay compares all commands, flags, types and defaults with the golden file, because operators' scripts depend on
// them.
func TestCommandsAndFlagsStay(t *testing.T) {
	t.Setenv("USER", "somebody")
	var b strings.Builder
	describeCommand(&b, rootCommand())
	path := filepath.Join("testdata", "commands.txt")
	if *update {
		if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		t.Errorf("commands differ from %s, got:\n%s", path, b.String())
	}
}

// describeCommand writes a command, its flags and its subcommands to b.
func describeCommand(b *strings.Builder, c *cobra.Command) {
	fmt.Fprintf(b, "%s: %s\n", c.CommandPath(), c.Use)
	describe := func(kind string) func(*pflag.Flag) {
		return func(f *pflag.Flag) {
			fmt.Fprintf(b, "\t%s --%s -%s %s = %s\n", kind, f.Name, f.Shorthand, f.Value.Type(), f.DefValue)
		}
	}
	c.LocalNonPersistentFlags().VisitAll(describe("local"))
	c.PersistentFlags().VisitAll(describe("inherited"))
	for _, child := range c.Commands() {
		describeCommand(b, child)
	}
}
