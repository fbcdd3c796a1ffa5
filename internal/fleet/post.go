package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/leaderelection"
)

// Headers of the requests that post tasks send.
const (
	TokenHeader          = "Robindrum-Token"
	MemberHeader         = "Robindrum-Member"
	LeaseCheckedAtHeader = "Robindrum-Began" // the reading of this machine's Clock at which the lease was checked, in nanoseconds
	NumberHeader         = "Robindrum-Number"
)

// maxPostResponseBytes is how much of a response body is read, so that the connection can be reused.
const maxPostResponseBytes = 1 << 20

// errLeaseExpired is returned when a process may no longer act as the leader of a task.
var errLeaseExpired = errors.New("lease expired")

// postTask returns the leader-only task that sends the configured request at its interval until the task's context ends.
func (f *Fleet) postTask(post config.PostTask) func(context.Context, *leaderelection.Leadership) {
	return func(ctx context.Context, leadership *leaderelection.Leadership) {
		ticker := time.NewTicker(post.Interval.D())
		defer ticker.Stop()
		for number := 0; ; number++ {
			if err := f.sendPost(ctx, post, leadership, number); err != nil && ctx.Err() == nil {
				f.log.Warn("post failed", "post", post.Name, "error", err)
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}
}

// sendPost sends the configured request once, under the lease's fencing token. number counts the requests under this lease from 0.
func (f *Fleet) sendPost(ctx context.Context, post config.PostTask, leadership *leaderelection.Leadership, number int) error {
	token, checkedAt, ok := leadership.Token()
	if !ok {
		return errLeaseExpired
	}
	ctx, cancel := context.WithTimeout(ctx, post.Timeout.D())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, post.URL, bytes.NewReader(nil))
	if err != nil {
		return err
	}
	request.Header.Set(TokenHeader, strconv.FormatUint(token, 10))
	request.Header.Set(MemberHeader, f.conf.Member)
	request.Header.Set(LeaseCheckedAtHeader, strconv.FormatInt(int64(checkedAt), 10))
	request.Header.Set(NumberHeader, strconv.Itoa(number))
	response, err := f.postClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxPostResponseBytes)) // only the status matters
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s answered %s", post.URL, response.Status)
	}
	return nil
}
