package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	adminTimeout     = 10 * time.Second
	maxAdminResponse = 256 << 20 // bytes
	maxAdminError    = 4 << 10   // bytes of the response that an error quotes
)

// ask sends a request without a body to an admin listener, and copies the response to out if that is an io.Writer, or decodes it as JSON
// into what out points to.
func ask(c *cobra.Command, method, addr, path string, out any) error {
	return send(c, method, addr, path, nil, out)
}

// send is ask with a request body.
func send(c *cobra.Command, method, addr, path string, in io.Reader, out any) error {
	ctx, cancel := context.WithTimeout(c.Context(), adminTimeout)
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
	body := io.LimitReader(resp.Body, maxAdminResponse)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, maxAdminError))
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
