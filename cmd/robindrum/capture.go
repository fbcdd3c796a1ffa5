package main

import (
	"context"
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

// captureCommand returns the command that records the load of a running gateway.
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
			captured, err := saveCapture(c.Context(), addr, path, &o)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %d requests over %v, %d missed\n", path, len(captured.Records), captured.Length.Round(time.Millisecond), captured.Missed)
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

// maxCaptureBytes is the size beyond which a capture is cut off.
const maxCaptureBytes = 4 << 30

// saveCapture records the load of a gateway into a file. The file has a temporary name until the capture is complete.
func saveCapture(ctx context.Context, addr, path string, o *capture.Options) (*capture.Capture, error) {
	part := path + ".part"
	if err := downloadCapture(ctx, addr, part, o); err != nil {
		return nil, err
	}
	captured, err := capture.Open(part)
	if err != nil || !captured.Complete {
		return nil, errors.Join(fmt.Errorf("the capture is not whole, what has come is in %s", part), err)
	}
	if err := os.Rename(part, path); err != nil {
		return nil, fmt.Errorf("the file of the capture: %w", err)
	}
	return captured, nil
}

// downloadCapture copies the response of the gateway into a file.
func downloadCapture(ctx context.Context, addr, path string, o *capture.Options) error {
	query := url.Values{
		"seconds": {fmt.Sprint(o.Duration.Seconds())},
		"sample":  {fmt.Sprint(o.SampleRate)},
		"records": {fmt.Sprint(o.MaxRecords)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/capture?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("%w: %w", err, errUsage)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("%s answered %s: %s", addr, response.Status, strings.TrimSpace(string(text)))
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("the file of the capture: %w", err)
	}
	_, copied := io.Copy(f, io.LimitReader(response.Body, maxCaptureBytes))
	if err := errors.Join(copied, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("what has come is in %s: %w", path, err)
	}
	return nil
}
