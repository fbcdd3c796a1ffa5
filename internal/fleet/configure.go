package fleet

import (
	"context"
	"time"
)

const (
	// maxSilentHeartbeats is the number of heartbeats for which the leader may be silent before a process rolls back the version or
	// configuration that is on trial.
	maxSilentHeartbeats  = 20
	maxRetryPause        = time.Hour
	maxRejectReasonBytes = 200

	reasonSilence        = "with it nobody is heard of any more"
	reasonVersionSilence = "with it nobody is heard of"
)

// configurer applies the desired configuration, and ends the trials of configurations and of the program's version. It must be used by
// a single goroutine.
type configurer struct {
	assignee   *assignee
	now        func() time.Duration
	maxSilence time.Duration
	startedAt  time.Duration

	versionOnTrial bool

	// A configuration is on trial until the process has heard from the leader with the configuration in use.
	trialSince     time.Duration // 0 if none is on trial
	previousConfig string        // the configuration in use before the trial

	// A configuration that was rolled back because the leader was silent is tried again later, since the silence may have had another
	// cause.
	retryAt    time.Duration // 0 if none is to be tried again
	retryPause time.Duration
}

// runConfigure applies desired configurations until ctx ends.
func (a *assignee) runConfigure(ctx context.Context) {
	heartbeat := a.fleet.conf.Quorum.ElectionTimeout.D()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	c := &configurer{
		assignee:       a,
		now:            a.fleet.now,
		maxSilence:     maxSilentHeartbeats * heartbeat,
		startedAt:      a.fleet.now(),
		versionOnTrial: a.versionController != nil && a.versionController.OnTrial(),
	}
	for {
		c.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.configChanged:
		}
	}
}

// configState is a copy of the part of the assignee's state that step needs.
type configState struct {
	desired       string
	inUse         string
	rejected      string
	leaderHeardAt time.Duration
}

// step ends a trial that is decided, or else applies the desired configuration if it is neither in use nor rejected.
func (c *configurer) step(ctx context.Context) {
	state := c.updateTrials()
	switch {
	case c.trialSince > 0 && state.leaderHeardAt > c.trialSince:
		c.trialSince = 0
	case c.trialSince > 0 && c.now()-c.trialSince > c.maxSilence:
		c.assignee.useConfig(ctx, c.previousConfig, reasonSilence)
		c.retryPause = min(max(2*c.retryPause, c.maxSilence), maxRetryPause)
		c.trialSince = 0
		c.retryAt = c.now() + c.retryPause
	case state.desired != state.inUse && state.rejected == "":
		if c.assignee.useConfig(ctx, state.desired, "") {
			c.previousConfig = state.inUse
			c.trialSince = c.now()
		}
	}
}

// updateTrials allows a retry that is due, ends the version's trial if it is decided, and returns the resulting state.
func (c *configurer) updateTrials() configState {
	a := c.assignee
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.desiredConfig == a.config {
		c.retryAt = 0
	}
	if c.retryDue(a.releaseInProgress, a.leaderHeardAt) {
		c.retryAt = 0
		a.configRejected = ""
	}
	c.endVersionTrial(a.leaderHeardAt)
	return configState{desired: a.desiredConfig, inUse: a.config, rejected: a.configRejected, leaderHeardAt: a.leaderHeardAt}
}

// retryDue reports whether a configuration that was rolled back because the leader was silent may be tried again: no release is in
// progress, the pause since the rollback is over, and the leader has been heard from since the rollback.
func (c *configurer) retryDue(releaseInProgress bool, leaderHeardAt time.Duration) bool {
	return c.retryAt > 0 && !releaseInProgress && c.now() >= c.retryAt && leaderHeardAt > c.retryAt-c.retryPause
}

// endVersionTrial confirms the version on trial once the leader has been heard from, and rolls it back if the leader has been silent
// for longer than maxSilence.
func (c *configurer) endVersionTrial(leaderHeardAt time.Duration) {
	if !c.versionOnTrial {
		return
	}
	a := c.assignee
	switch {
	case leaderHeardAt > 0:
		if err := a.versionController.ConfirmTrial(); err != nil {
			a.fleet.log.Warn("version trial confirmation failed", "error", err)
		}
		c.versionOnTrial = false
	case c.now()-c.startedAt > c.maxSilence:
		if err := a.versionController.Rollback(reasonVersionSilence); err != nil {
			a.fleet.log.Error("version rollback failed", "error", err)
		}
		c.versionOnTrial = false
	}
}

// useConfig makes the gateway use a configuration and reports whether it does. rollbackReason is why the desired configuration is
// rolled back to this one. It is empty if this one is the desired configuration.
func (a *assignee) useConfig(ctx context.Context, digest, rollbackReason string) bool {
	text, ok := a.fetchConfig(ctx, digest)
	if !ok {
		return false // retried at the next step
	}
	err := a.agent.Configure(digest, text)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		reason := err.Error()
		a.configRejected = reason[:min(len(reason), maxRejectReasonBytes)]
		a.fleet.log.Error("released configuration rejected", "digest", digest, "error", err)
		return false
	}
	a.fleet.log.Info("released configuration in use", "from", a.config, "to", digest, "reason", rollbackReason)
	a.config = digest
	a.configRejected = rollbackReason
	return true
}

// fetchConfig fetches the text of a released configuration from the voters. The empty digest is that of the empty text. ok is false if
// the text could not be fetched or does not match the digest.
func (a *assignee) fetchConfig(ctx context.Context, digest string) (text string, ok bool) {
	if digest == "" {
		return "", true
	}
	text, err := a.fleet.client.Config(ctx, digest)
	if err != nil {
		return "", false
	}
	if ConfigDigest([]byte(text)) != digest {
		a.fleet.log.Error("configuration does not match its digest", "digest", digest)
		return "", false
	}
	return text, true
}
