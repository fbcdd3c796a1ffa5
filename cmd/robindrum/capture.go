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
	var duration time.Duration
	var sampleRate float64
	var maxRecords int
	c := &cobra.Command{Use: "capture -o FILE", Short: "Record the load of a running gateway, as input for lab and plan", Args: noArgs,
		Long: "Record the arrival time, class, hashed key, method, size, latency and outcome of requests. Bodies, paths, addresses and\n" +
			"plain keys are never recorded. The output file is created when the capture is complete.",
		RunE: func(c *cobra.Command, _ []string) error {
			options := capture.Options{Duration: duration, SampleRate: sampleRate, MaxRecords: maxRecords}
			if err := options.Validate(); err != nil {
				return fmt.Errorf("%w: %w", err, errUsage)
			}
			captured, err := saveCapture(c.Context(), addr, path, &options)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %d requests over %v, %d missed\n", path, len(captured.Records), captured.Length.Round(time.Millisecond), captured.Missed)
			return nil
		}}
	c.Flags().StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "the gateway's admin `address`")
	c.Flags().StringVarP(&path, "output", "o", "", "the `file` that the capture is written to")
	c.Flags().DurationVar(&duration, "for", time.Minute, "how long to record")
	c.Flags().Float64Var(&sampleRate, "sample", 1, "fraction of the requests to record")
	c.Flags().IntVar(&maxRecords, "records", 1_000_000, "maximum number of records")
	must(c.MarkFlagRequired("output"))
	return c
}

// maxCaptureBytes is the size at which a downloaded capture is truncated.
const maxCaptureBytes = 4 << 30

// saveCapture records the load of a gateway into a file. The file has a temporary name until the capture is complete.
func saveCapture(ctx context.Context, addr, path string, options *capture.Options) (*capture.Capture, error) {
	partPath := path + ".part"
	if err := downloadCapture(ctx, addr, partPath, options); err != nil {
		return nil, err
	}
	captured, err := capture.Open(partPath)
	if err != nil || !captured.Complete {
		return nil, errors.Join(fmt.Errorf("the capture is incomplete; the received part is in %s", partPath), err)
	}
	if err := os.Rename(partPath, path); err != nil {
		return nil, fmt.Errorf("renaming the capture file: %w", err)
	}
	return captured, nil
}

// downloadCapture copies the response of the gateway into a file.
func downloadCapture(ctx context.Context, addr, path string, options *capture.Options) error {
	query := url.Values{
		"seconds": {fmt.Sprint(options.Duration.Seconds())},
		"sample":  {fmt.Sprint(options.SampleRate)},
		"records": {fmt.Sprint(options.MaxRecords)},
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
		return fmt.Errorf("creating the capture file: %w", err)
	}
	_, copyErr := io.Copy(f, io.LimitReader(response.Body, maxCaptureBytes))
	if err := errors.Join(copyErr, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("receiving the capture, the received part is in %s: %w", path, err)
	}
	return nil
}
