package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/gateway"
)

// statusCommand returns the command that prints the status of a running gateway.
func statusCommand() *cobra.Command {
	var addr string
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "Print the status of a running gateway", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if asJSON {
				return callAdmin(c, http.MethodGet, addr, "/status", c.OutOrStdout())
			}
			var s gateway.Status
			if err := callAdmin(c, http.MethodGet, addr, "/status", &s); err != nil {
				return err
			}
			return showStatus(c.OutOrStdout(), &s)
		}}
	c.Flags().StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "the gateway's admin `address`")
	c.Flags().BoolVar(&asJSON, "json", false, "print the gateway's JSON response unchanged")
	return c
}

// showStatus prints a status as text.
func showStatus(out io.Writer, s *gateway.Status) error {
	showConfig(out, s)
	for i := range s.Sources {
		showSource(out, &s.Sources[i])
	}
	if s.DrainID != "" {
		fmt.Fprintf(out, "OUT OF SERVICE by order %s\n", s.DrainID)
	}
	if err := showSubscription(out, s); err != nil {
		return err
	}
	showRoutes(out, s)
	if err := showClusters(out, s); err != nil {
		return err
	}
	if err := showAdmission(out, s); err != nil {
		return err
	}
	if err := showZones(out, s); err != nil {
		return err
	}
	showExcluded(out, s)
	return nil
}

// showConfig prints whether the gateway is ready and which configuration it uses.
func showConfig(out io.Writer, s *gateway.Status) {
	yesNo := map[bool]string{true: "yes", false: "NO"}
	fmt.Fprintf(out, "ready %s, up %s, configuration %s loaded %s ago\n", yesNo[s.Ready], seconds(s.Uptime), s.Config.Path, seconds(s.Config.Age))
	if s.Config.Rejection != "" {
		fmt.Fprintf(out, "REFUSED %s ago, the previous configuration stays in use:\n  %s\n", seconds(s.Config.RejectionAge), strings.ReplaceAll(s.Config.Rejection, "\n", "\n  "))
	}
}

// showSource prints the connection to a control plane and its errors.
func showSource(out io.Writer, source *gateway.SourceStatus) {
	state := "connected to " + source.Connected
	if source.Connected == "" {
		state = "NOT CONNECTED"
	}
	response := "no response yet"
	if source.LastResponseAge != nil {
		response = "last response " + seconds(*source.LastResponseAge) + " ago"
	}
	fmt.Fprintf(out, "source %s: %s, %s\n", source.Name, state, response)
	if source.Error != "" {
		fmt.Fprintf(out, "  last error: %s\n", source.Error)
	}
	for _, t := range source.Types {
		if t.Error != "" {
			fmt.Fprintf(out, "  %s refused: %s\n", t.Type, t.Error)
		}
	}
}

// showRoutes prints the problems of the routes.
func showRoutes(out io.Writer, s *gateway.Status) {
	if s.Routes.Pending {
		fmt.Fprintln(out, "new routes are waiting for the endpoints of their clusters")
	}
	if s.Routes.Rejection != "" {
		fmt.Fprintf(out, "routes of the control plane: %s\n", s.Routes.Rejection)
	}
	for _, cluster := range s.Routes.MissingClusters {
		fmt.Fprintf(out, "routes name cluster %s, which no source has\n", cluster)
	}
}

// showClusters prints the clusters with their endpoints and requests.
func showClusters(out io.Writer, s *gateway.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CLUSTER\tSOURCE\tVERSION\tLAST WORD\tUSABLE\tIN HAND\tSERVED\tREFUSED\tFAILED\tRETRIES")
	for _, c := range s.Clusters {
		age := "none"
		if c.UpdateAge != nil {
			age = seconds(*c.UpdateAge)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%d\t%d\t%d\t%d\n", c.Name, c.Source, c.Version, age, c.Usable, len(c.Endpoints), c.InFlight,
			c.Requests.Served, c.Requests.Rejected, c.Requests.Failed, c.Requests.Retries)
	}
	return table.Flush()
}

// showExcluded prints the endpoint lists and updates that are not used, and the endpoints that receive no requests.
func showExcluded(out io.Writer, s *gateway.Status) {
	for _, c := range s.Clusters {
		if c.Stale != "" {
			fmt.Fprintf(out, "%s: its endpoint list is not used: %s\n", c.Name, c.Stale)
		}
		if c.RejectedUpdate != "" {
			fmt.Fprintf(out, "%s: the latest update is refused: %s\n", c.Name, c.RejectedUpdate)
		}
		for _, e := range c.Endpoints {
			if e.ExcludedReason != "" && c.Stale == "" {
				fmt.Fprintf(out, "%s: %s receives no requests: %s\n", c.Name, e.Address, e.ExcludedReason)
			}
		}
	}
}

// showAdmission prints the admission state of each cluster, and the rate limits if there are any.
func showAdmission(out io.Writer, s *gateway.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CLUSTER\tADMISSION\tLIMIT\tIN FLIGHT\tWAITING\tREFUSED\tRETRIES LEFT\tSHORT\tEVIDENCE")
	for _, c := range s.Clusters {
		admission := c.Admission
		limit, refused := "none", uint64(0)
		if admission.Limit > 0 {
			limit = strconv.Itoa(admission.Limit)
		}
		for _, n := range admission.Rejected {
			refused += n
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\t%s\n", c.Name, admission.Mode, limit, admission.InFlight, admission.Waiting, refused, admission.RetriesLeft, admission.Overloaded, admission.Evidence)
	}
	if len(s.RateLimits) > 0 {
		fmt.Fprintln(table, "RATE LIMIT\tALLOWED\tREFUSED\tCOUNTED TOGETHER")
	}
	for _, rateLimit := range s.RateLimits {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", rateLimit.Name, rateLimit.Allowed, rateLimit.Rejected, rateLimit.CountedTogether)
	}
	return table.Flush()
}

// showZones prints the zones of the clusters and their tiers, if there are any.
func showZones(out io.Writer, s *gateway.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	headerPrinted := false
	for _, c := range s.Clusters {
		for _, z := range c.Zones {
			if !headerPrinted {
				fmt.Fprintln(table, "CLUSTER\tZONE\tTIER\tSTATE\tFOR\tHEALTH\tSHARE\tIN FLIGHT\tROOM\tCROSSED\tNO ROOM\tEVIDENCE")
				headerPrinted = true
			}
			room := "none set"
			if z.MaxInFlight > 0 {
				room = fmt.Sprintf("%.0f", z.MaxInFlight)
			}
			name := z.Zone
			if z.Priority > 0 {
				name += fmt.Sprintf(" (priority %d)", z.Priority)
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%.2f\t%.2f\t%d\t%s\t%d\t%d\t%s\n", c.Name, name, z.Tier, z.State, seconds(z.StateSeconds), z.Health, z.Share,
				z.InFlight, room, z.Crossed, z.RejectedNoCapacity, z.Evidence)
		}
	}
	return table.Flush()
}

// seconds formats a number of seconds, rounded to tenths.
func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(100 * time.Millisecond).String()
}
