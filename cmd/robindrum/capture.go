package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"robindrum/internal/capture"
)

func captureCommand() *cobra.Command {
	var addr, path string
	var length time.Duration
	var sample float64
	var records int
	c := &cobra.Command{Use: "capture -o FILE", Short: "Record the load of a running gateway, for lab and plan", Args: noArgs,
		Long: "Record when requests come, their class, hashed key, method, size, time taken and outcome; never bodies, paths, addresses\n" +
			"or keys as they are. The file appears once it is whole.",
		RunE: func(c *cobra.Command, _ []string) error {
			o := capture.Options{Duration: length, SampleRate: sample, MaxRecords: records}
			if err := o.Validate(); err != nil {
				return fmt.Errorf("%w: %w", err, errUsage)
			}
			q := url.Values{"seconds": {fmt.Sprint(length.Seconds())}, "sample": {fmt.Sprint(sample)}, "records": {fmt.Sprint(records)}}
			r, err := http.NewRequestWithContext(c.Context(), http.MethodPost, "http://"+addr+"/capture?"+q.Encode(), nil)
			if err != nil {
				return fmt.Errorf("%w: %w", err, errUsage)
			}
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
				return fmt.Errorf("%s answered %s: %s", addr, resp.Status, strings.TrimSpace(string(text)))
			}
			part := path + ".part"
			f, err := os.OpenFile(part, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
			if err != nil {
				return fmt.Errorf("the file of the capture: %w", err)
			}
			_, copied := io.Copy(f, io.LimitReader(resp.Body, 4<<30))
			if err := errors.Join(copied, f.Sync(), f.Close()); err != nil {
				return fmt.Errorf("what has come is in %s: %w", part, err)
			}
			k, err := capture.Open(part)
			if err != nil || !k.Complete {
				return errors.Join(fmt.Errorf("the capture is not whole, what has come is in %s", part), err)
			}
			if err := os.Rename(part, path); err != nil {
				return fmt.Errorf("the file of the capture: %w", err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %d requests over %v, %d missed\n", path, len(k.Records), k.Length.Round(time.Millisecond), k.Missed)
			return nil
		}}
	c.Flags().StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "the gateway's admin `address`")
	c.Flags().StringVarP(&path, "output", "o", "", "the capture's `file`")
	c.Flags().DurationVar(&length, "for", time.Minute, "how long")
	c.Flags().Float64Var(&sample, "sample", 1, "the part of requests that is recorded")
	c.Flags().IntVar(&records, "records", 1_000_000, "records at most")
	must(c.MarkFlagRequired("output"))
	return c
}
