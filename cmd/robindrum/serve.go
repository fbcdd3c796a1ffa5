package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/config"
	"robindrum/internal/gateway"
	"robindrum/internal/supervisor"
)

func logger(c config.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(c.Level)) // the configuration was checked
	opt := &slog.HandlerOptions{Level: level}
	if c.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opt))
	}
	return slog.New(slog.NewTextHandler(w, opt))
}

func serveCommand() *cobra.Command {
	var path string
	var parent bool
	c := &cobra.Command{Use: "serve -c FILE", Short: "Run the gateway", Args: noArgs,
		Long: "Run the gateway until SIGTERM or an interrupt, then answer what is in hand.\nSIGHUP takes over the file anew; one that cannot be used changes nothing and shows in /status.",
		RunE: func(c *cobra.Command, _ []string) error {
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			defer signal.Stop(hup)
			ctx := c.Context()
			if parent || supervisor.FromEnv() != nil {
				var cancel context.CancelFunc
				ctx, cancel = untilParent(ctx, c.InOrStdin())
				defer cancel()
			}
			return serve(ctx, path, hup, c.ErrOrStderr())
		}}
	c.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	c.Flags().BoolVar(&parent, "with-parent", false, "end, as with SIGTERM, when standard input ends")
	must(c.Flags().MarkHidden("with-parent"))
	must(c.MarkFlagRequired("config"))
	return c
}

// untilParent gives a context that ends with standard input: the parent has it, and its end comes also where it is killed.
func untilParent(ctx context.Context, in io.Reader) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		_, _ = io.Copy(io.Discard, in)
		cancel()
	}()
	return ctx, cancel
}

// must is for errors that only a mistake in this program can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func serve(ctx context.Context, path string, hup <-chan os.Signal, errs io.Writer) error {
	f, err := config.Load(path)
	if err != nil {
		return err
	}
	log := logger(f.Log, errs)
	slog.SetDefault(log)
	child := supervisor.FromEnv()
	g, err := gateway.NewSupervised(f, log, child)
	if err != nil {
		return err
	}
	defer g.Close()
	for _, l := range f.Listeners {
		log.Info("listening", "listener", l.Name, "address", g.Addr(l.Name).String())
	}
	if a := g.AdminAddr(); a != nil {
		log.Info("listening for operators", "address", a.String())
	}
	again := false
	for ctx.Err() == nil && !again {
		select {
		case <-ctx.Done():
		case <-child.Restarting(): // it is drained
			again = true
		case <-hup:
			n, err := config.Load(path)
			if err != nil {
				g.RecordRejection(err)
				continue
			}
			if g.Reload(n) == nil { // which tells why not
				f = n
				log.Info("the configuration was taken over", "file", path)
			}
		}
	}
	log.Info("stopping", "at most", f.Limits.Drain.D())
	until, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.Limits.Drain.D())
	defer cancel()
	g.Stop(until)
	if again {
		return exitCode(supervisor.ExitRestart)
	}
	return nil
}

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
			if !show {
				if p := f.SitePlan(); p != nil {
					for _, lost := range append(p.SingleLosses(), p.PairLosses()...) {
						o := p.Lose(lost, nil)
						fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", path, &o)
					}
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %d listeners, %d clusters, %d routes, %d classes: good\n", path, len(f.Listeners),
					len(f.Clusters), len(f.Routes), len(f.Classes))
				return nil
			}
			text, err := f.Print()
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(text)
			return err
		}}
	c.Flags().StringVarP(&path, "config", "c", "", "the configuration `file`")
	c.Flags().BoolVar(&show, "print", false, "print the file with all defaults")
	must(c.MarkFlagRequired("config"))
	return c
}

func statusCommand() *cobra.Command {
	var addr string
	var plain bool
	c := &cobra.Command{Use: "status", Short: "Ask a running gateway how it stands", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if plain {
				return ask(c, http.MethodGet, addr, "/status", c.OutOrStdout())
			}
			var s gateway.Status
			if err := ask(c, http.MethodGet, addr, "/status", &s); err != nil {
				return err
			}
			return show(c.OutOrStdout(), &s)
		}}
	c.Flags().StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "the gateway's admin `address`")
	c.Flags().BoolVar(&plain, "json", false, "print what the gateway says as it is")
	return c
}

// ask asks an admin listener, and reads the answer into a writer, or as JSON into what out points to.
func ask(c *cobra.Command, method, addr, path string, out any) error {
	return send(c, method, addr, path, nil, out)
}

// send is ask with a body.
func send(c *cobra.Command, method, addr, path string, in io.Reader, out any) error {
	ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, in)
	if err != nil {
		return fmt.Errorf("%w: %w", err, errUsage)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, 256<<20)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, 4<<10))
		return fmt.Errorf("%s answered %s: %s", addr, resp.Status, strings.TrimSpace(string(text)))
	}
	if w, ok := out.(io.Writer); ok {
		_, err := io.Copy(w, body)
		return err
	}
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	return nil
}

// show prints a status for people.
func show(out io.Writer, s *gateway.Status) error {
	yes := map[bool]string{true: "yes", false: "NO"}
	fmt.Fprintf(out, "ready %s, up %s, configuration %s taken over %s ago\n", yes[s.Ready], seconds(s.Uptime), s.Config.Path, seconds(s.Config.Age))
	if s.Config.Rejection != "" {
		fmt.Fprintf(out, "REFUSED %s ago, the one before goes on:\n  %s\n", seconds(s.Config.RejectionAge), strings.ReplaceAll(s.Config.Rejection, "\n", "\n  "))
	}
	for _, src := range s.Sources {
		state := "connected to " + src.Connected
		if src.Connected == "" {
			state = "NOT CONNECTED"
		}
		heard := "no word yet"
		if src.LastResponseAge != nil {
			heard = "last word " + seconds(*src.LastResponseAge) + " ago"
		}
		fmt.Fprintf(out, "source %s: %s, %s\n", src.Name, state, heard)
		if src.Error != "" {
			fmt.Fprintf(out, "  last error: %s\n", src.Error)
		}
		for _, t := range src.Types {
			if t.Error != "" {
				fmt.Fprintf(out, "  %s refused: %s\n", t.Type, t.Error)
			}
		}
	}
	if s.DrainID != "" {
		fmt.Fprintf(out, "OUT OF SERVICE by order %s\n", s.DrainID)
	}
	if err := showSubscription(out, s); err != nil {
		return err
	}
	if s.Routes.Pending {
		fmt.Fprintln(out, "new routes wait for their clusters' endpoints")
	}
	if s.Routes.Rejection != "" {
		fmt.Fprintf(out, "routes of the control plane: %s\n", s.Routes.Rejection)
	}
	for _, n := range s.Routes.MissingClusters {
		fmt.Fprintf(out, "routes lead to cluster %s, which nobody knows\n", n)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CLUSTER\tSOURCE\tVERSION\tLAST WORD\tUSABLE\tIN HAND\tSERVED\tREFUSED\tFAILED\tRETRIES")
	for _, c := range s.Clusters {
		age := "none"
		if c.UpdateAge != nil {
			age = seconds(*c.UpdateAge)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%d\t%d\t%d\t%d\n", c.Name, c.Source, c.Version, age, c.Usable, len(c.Endpoints), c.InFlight,
			c.Requests.Served, c.Requests.Rejected, c.Requests.Failed, c.Requests.Retries)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if err := showAdmission(out, s); err != nil {
		return err
	}
	if err := showZones(out, s); err != nil {
		return err
	}
	for _, c := range s.Clusters {
		if c.Stale != "" {
			fmt.Fprintf(out, "%s: its list is not used: %s\n", c.Name, c.Stale)
		}
		if c.RejectedUpdate != "" {
			fmt.Fprintf(out, "%s: the newest update is refused: %s\n", c.Name, c.RejectedUpdate)
		}
		for _, e := range c.Endpoints {
			if e.ExcludedReason != "" && c.Stale == "" {
				fmt.Fprintf(out, "%s: %s is out: %s\n", c.Name, e.Address, e.ExcludedReason)
			}
		}
	}
	return nil
}

// showAdmission prints what is admitted, and the rate limits where there are any.
func showAdmission(out io.Writer, s *gateway.Status) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CLUSTER\tADMISSION\tLIMIT\tIN FLIGHT\tWAITING\tREFUSED\tRETRIES LEFT\tSHORT\tEVIDENCE")
	for _, c := range s.Clusters {
		a := c.Admission
		limit, refused := "none", uint64(0)
		if a.Limit > 0 {
			limit = strconv.Itoa(a.Limit)
		}
		for _, n := range a.Rejected {
			refused += n
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\t%s\n", c.Name, a.Mode, limit, a.InFlight, a.Waiting, refused, a.RetriesLeft, a.Overloaded, a.Evidence)
	}
	if len(s.RateLimits) > 0 {
		fmt.Fprintln(t, "RATE LIMIT\tALLOWED\tREFUSED\tCOUNTED TOGETHER")
	}
	for _, l := range s.RateLimits {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", l.Name, l.Allowed, l.Rejected, l.CountedTogether)
	}
	return t.Flush()
}

// showZones prints the tiers, where there are any.
func showZones(out io.Writer, s *gateway.Status) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	head := false
	for _, c := range s.Clusters {
		for _, z := range c.Zones {
			if !head {
				fmt.Fprintln(t, "CLUSTER\tZONE\tTIER\tSTATE\tFOR\tHEALTH\tSHARE\tIN FLIGHT\tROOM\tCROSSED\tNO ROOM\tEVIDENCE")
				head = true
			}
			room := "none set"
			if z.MaxInFlight > 0 {
				room = fmt.Sprintf("%.0f", z.MaxInFlight)
			}
			name := z.Zone
			if z.Priority > 0 {
				name += fmt.Sprintf(" (priority %d)", z.Priority)
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%.2f\t%.2f\t%d\t%s\t%d\t%d\t%s\n", c.Name, name, z.Tier, z.State, seconds(z.StateSeconds), z.Health, z.Share,
				z.InFlight, room, z.Crossed, z.RejectedNoCapacity, z.Evidence)
		}
	}
	return t.Flush()
}

func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(100 * time.Millisecond).String()
}
