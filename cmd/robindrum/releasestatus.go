package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/quorum"
	"robindrum/internal/release"
)

const (
	releasePollInterval = 300 * time.Millisecond
	maxEndedShown       = 5
	notResponding       = "NO ANSWER"
)

// watch prints a release's changes until it has ended or halts. It keeps polling while the fleet does not answer.
func (r *releaseClient) watch(c *cobra.Command, id string, asJSON bool) error {
	lastLine := ""
	for {
		list, err := r.list(c)
		if current := findRelease(&list, id); err == nil && current != nil {
			if line := current.String(); line != lastLine {
				lastLine = line
				if err := printRelease(c.OutOrStdout(), current, asJSON); err != nil {
					return err
				}
			}
			switch current.State {
			case release.Done:
				return nil
			case release.Halted, release.RolledBack, release.Stopped:
				return exitCode(exitRolledBack)
			}
		}
		if err := sleep(c.Context(), releasePollInterval); err != nil {
			return err
		}
	}
}

// findRelease returns the release with the ID, either in progress or the latest that has ended, or nil if there is none.
func findRelease(list *quorum.ReleaseList, id string) *release.Release {
	if list.Current != nil && list.Current.ID == id {
		return list.Current
	}
	for i := len(list.Ended) - 1; i >= 0; i-- {
		if list.Ended[i].ID == id {
			return &list.Ended[i]
		}
	}
	return nil
}

func printRelease(out io.Writer, r *release.Release, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	_, err := fmt.Fprintln(out, r)
	return err
}

// printReleases prints the release in progress, the releases that ended last, and each gateway.
func printReleases(out io.Writer, list *quorum.ReleaseList) error {
	if !list.Fresh {
		fmt.Fprintf(out, "NO LEADER: last state known to voter %s. No release makes progress\n", list.Voter)
	}
	if list.Current != nil {
		fmt.Fprintf(out, "%s\n", list.Current)
	} else {
		fmt.Fprintln(out, "no release is under way; requests, bad and mean are as of the end of the last release, or of the last change")
	}
	for i := len(list.Ended) - 1; i >= max(0, len(list.Ended)-maxEndedShown); i-- {
		age := list.Now - list.Ended[i].StateSince
		fmt.Fprintf(out, "  ended %s ago: %s\n", seconds(age.Seconds()), &list.Ended[i])
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "GATEWAY\tSITE\tZONE\tHAS\tIS TO HAVE\tRUNS AS\tIS TO RUN AS\tREQUESTS\tBAD\tMEAN\tMEMORY\tREFUSED")
	for i := range list.Gateways {
		printGatewayRow(table, &list.Gateways[i], list)
	}
	return table.Flush()
}

func printGatewayRow(out io.Writer, g *release.Gateway, list *quorum.ReleaseList) {
	config, version := configName(g.Config), cmp.Or(g.Version, "not supervised")
	if !g.Responding {
		config, version = notResponding, notResponding
	}
	desiredConfig := configName(list.DesiredConfigs[g.Name])
	desiredVersion := cmp.Or(list.DesiredVersions[g.Name], "-")
	meanMillis := 0.0
	if g.Served > 0 {
		meanMillis = 1000 * g.LatencySeconds / float64(g.Served)
	}
	rejections := strings.TrimSpace(g.ConfigRejected + " " + g.VersionRejected)
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%.1f ms\t%d MiB\t%s\n",
		g.Name, g.Site, g.Zone, config, desiredConfig, version, desiredVersion, g.Accepted, g.Failed, meanMillis, g.Memory>>20, rejections)
}

// configName returns a short name for a released configuration, given its digest.
func configName(digest string) string {
	if digest == "" {
		return "its own file"
	}
	return digest[:min(12, len(digest))]
}
