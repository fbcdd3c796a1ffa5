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
	maxAdminError    = 4 << 10   // bytes of the response that are included in an error
)

// callAdmin sends a request without a body to an admin listener. It copies the response to out if out is an io.Writer; otherwise it
// decodes the response as JSON into the value that out points to.
func callAdmin(c *cobra.Command, method, addr, path string, out any) error {
	return callAdminWithBody(c, method, addr, path, nil, out)
}

// callAdminWithBody is callAdmin with a request body.
func callAdminWithBody(c *cobra.Command, method, addr, path string, requestBody io.Reader, out any) error {
	ctx, cancel := context.WithTimeout(c.Context(), adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, requestBody)
	if err != nil {
		return fmt.Errorf("%w: %w", err, errUsage)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	responseBody := io.LimitReader(response.Body, maxAdminResponse)
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(responseBody, maxAdminError))
		return fmt.Errorf("%s answered %s: %s", addr, response.Status, strings.TrimSpace(string(text)))
	}
	if w, ok := out.(io.Writer); ok {
		_, err := io.Copy(w, responseBody)
		return err
	}
	if err := json.NewDecoder(responseBody).Decode(out); err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	return nil
}
