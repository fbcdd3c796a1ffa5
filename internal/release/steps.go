package release

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Observe replaces the known gateways with a complete observation and takes the next step of the release in progress.
func (l *Ledger) Observe(now time.Duration, gateways []Gateway) {
	l.advance(now)
	clear(l.Gateways)
	for _, gateway := range gateways {
		l.Gateways[gateway.Name] = gateway
	}
	r := l.Current
	if r == nil {
		return
	}
	switch r.State {
	case Running:
		l.stepForward(r)
	case RollingBack:
		l.stepBack(r)
	}
}

// action is the result of a check of the current wave.
type action int

const (
	proceed     action = iota // continue with the next check
	keepSoaking               // continue to observe the wave
	wait                      // wait for the condition that the reason describes
	halt                      // halt the release, even if its plan has RollBackOnFailure
	fail                      // the gate has failed
	pass                      // the wave has passed
)

// step is an action with its reason.
type step struct {
	action action
	reason string
}

// stepForward checks the current wave: first that its gateways have the target and respond and, once they do, how they serve requests.
func (l *Ledger) stepForward(r *Release) {
	if next := l.checkWave(r); next.action != proceed {
		l.apply(r, next)
		return
	}
	if !r.waveIsReady() {
		l.beginSoak(r)
		return
	}
	l.includeReturned(r)
	l.apply(r, l.checkSoak(r))
}

func (l *Ledger) apply(r *Release, next step) {
	switch next.action {
	case wait:
		r.StateReason = next.reason
	case halt:
		l.setState(Halted, next.reason)
	case fail:
		l.failGate(next.reason)
	case pass:
		l.finishWave(r)
	case proceed, keepSoaking:
	}
}

// checkWave checks that the gateways of the current wave have the target and respond, and that those of earlier waves have not regressed.
func (l *Ledger) checkWave(r *Release) step {
	if reason := l.lostZone(r); reason != "" {
		return step{halt, reason}
	}
	wave := l.inspectWave(r)
	tolerated := maxLosses(r.wave())
	switch {
	case wave.rejection != "":
		return step{fail, wave.rejection}
	case r.waveIsReady() && len(wave.missing) > tolerated:
		return step{fail, joinNames(wave.missing) + ": no answer any more"}
	case len(wave.restarted) > tolerated:
		return step{fail, joinNames(wave.restarted) + ": started anew while it had it"}
	case !r.waveIsReady() && (len(wave.waiting) > 0 || len(wave.missing) > tolerated):
		return step{wait, "waits for " + joinNames(append(wave.waiting, wave.missing...))}
	}
	if reason := l.earlierWavesRegressed(r); reason != "" {
		return step{fail, reason}
	}
	return step{action: proceed}
}

// maxLosses returns how many gateways of a wave may be missing or have restarted. In a large wave some do so for unrelated reasons.
func maxLosses(wave []string) int { return len(wave) / 20 }

func joinNames(names []string) string { return strings.Join(firstNames(names), ", ") }

// waveMembers lists the gateways of a wave by what keeps the wave from being ready or passing.
type waveMembers struct {
	rejection string   // name and reason of the first gateway that rejects the target
	missing   []string // do not respond
	waiting   []string // do not have the target, or do not serve yet
	restarted []string // have restarted since the wave was ready
}

// inspectWave sorts the gateways of the current wave by what they reported. A gateway that has left the fleet is not counted: a successor
// with the same name is assigned the target.
func (l *Ledger) inspectWave(r *Release) waveMembers {
	var members waveMembers
	for _, name := range r.wave() {
		gateway, known := l.Gateways[name]
		if !known {
			continue
		}
		current, rejection := r.current(&gateway)
		switch {
		case rejection != "":
			members.rejection = cmp.Or(members.rejection, fmt.Sprintf("%s refuses it: %s", name, rejection))
		case !gateway.Responding:
			members.missing = append(members.missing, name)
		case current != r.Target, r.IsVersionRelease && !gateway.Serving:
			members.waiting = append(members.waiting, name)
		case r.waveIsReady() && r.hasRestarted(&gateway):
			members.restarted = append(members.restarted, name)
		}
	}
	return members
}

// earlierWavesRegressed returns a reason if more than one and more than a tenth of the gateways of earlier waves have restarted since they
// got the target, and "" otherwise. During the second wave, the restart of a single gateway of the first wave is enough.
func (l *Ledger) earlierWavesRegressed(r *Release) string {
	var restarted []string
	total := 0
	for i, wave := range r.Waves[:r.Wave] {
		total += len(wave)
		for _, name := range wave {
			gateway := l.Gateways[name]
			if !gateway.Responding || !r.hasRestarted(&gateway) {
				continue
			}
			if i == 0 && r.Wave == 1 {
				return name + ": started anew while it had it"
			}
			restarted = append(restarted, name)
		}
	}
	if len(restarted) < 2 || 10*len(restarted) <= total {
		return ""
	}
	return joinNames(restarted) + ": started anew while they had it"
}

// lostZone returns a reason if a zone with two or more gateways that responded at the start of the release has lost all of them, and ""
// otherwise or if the fleet has a single zone. Gateways that restart for the current wave are not counted as lost.
func (l *Ledger) lostZone(r *Release) string {
	type zone struct{ site, name string }
	total, lost := map[zone]int{}, map[zone]int{}
	for name, present := range r.RespondingAtStart {
		gateway, known := l.Gateways[name]
		if !present || !known {
			continue
		}
		place := zone{gateway.Site, gateway.Zone}
		total[place]++
		restarting := r.IsVersionRelease && !r.waveIsReady() && slices.Contains(r.wave(), name)
		if !gateway.Responding && !restarting {
			lost[place]++
		}
	}
	if len(total) < 2 {
		return ""
	}
	for place, n := range lost {
		if n > 1 && n == total[place] {
			return strings.TrimSpace(fmt.Sprintf("all %d gateways of zone %q %s are lost", n, place.name, place.site))
		}
	}
	return ""
}

// beginSoak records that the wave is ready, with the figures of all gateways and the incarnations of the wave's gateways.
func (l *Ledger) beginSoak(r *Release) {
	r.WaveReadyAt = positive(l.Now)
	r.StateReason = ""
	for name, gateway := range l.Gateways {
		r.AtWaveReady[name] = gateway.Figures
		if !slices.Contains(r.wave(), name) {
			continue
		}
		delete(r.Incarnations, name)
		if gateway.Responding {
			r.Incarnations[name] = gateway.Incarnation
		}
	}
}

// includeReturned begins to judge gateways that were missing when their wave became ready and respond now.
func (l *Ledger) includeReturned(r *Release) {
	for _, name := range r.wave() {
		gateway := l.Gateways[name]
		if gateway.Responding && r.Incarnations[name] == 0 {
			r.AtWaveReady[name] = gateway.Figures
			r.Incarnations[name] = gateway.Incarnation
		}
	}
}

// checkSoak judges a wave that is ready. A failure takes effect immediately, a pass only at the end of the soak.
func (l *Ledger) checkSoak(r *Release) step {
	judged := l.judge(r)
	switch {
	case judged.outcome == failed:
		return step{fail, judged.reason}
	case l.Now-r.WaveReadyAt < r.Soak:
		return step{action: keepSoaking}
	case judged.outcome == undecided:
		return step{wait, judged.reason}
	}
	return step{action: pass}
}

// finishWave begins the next wave, or ends the release after its last wave.
func (l *Ledger) finishWave(r *Release) {
	if r.Wave+1 == len(r.Waves) {
		l.finish(Done, "")
		return
	}
	r.Wave++
	r.StateReason = ""
	l.Revision++
	l.beginWave(r)
}

// beginWave records the baseline of the current wave's gateways: what they have counted since the start of the release.
func (l *Ledger) beginWave(r *Release) {
	r.WaveReadyAt = 0
	clear(r.AtWaveReady)
	for _, name := range r.wave() {
		if gateway, known := l.Gateways[name]; known {
			r.BeforeWave[name] = gateway.since(r.AtStart[name])
		}
	}
}

// stepBack rolls the waves back in reverse order. A wave is complete when its gateways have what they had before the release, and the next
// one begins after Soak divided by RollbackSpeedup.
func (l *Ledger) stepBack(r *Release) {
	for _, name := range r.wave() {
		if gateway, known := l.Gateways[name]; known && r.awaitsRollback(&gateway) {
			return
		}
	}
	if !r.waveIsReady() {
		r.WaveReadyAt = positive(l.Now)
	}
	if r.Wave == 0 {
		l.finish(RolledBack, r.StateReason)
		return
	}
	pause := r.Soak / time.Duration(r.RollbackSpeedup)
	if l.Now-r.WaveReadyAt >= pause {
		r.Wave--
		r.WaveReadyAt = 0
		l.Revision++
	}
}

// awaitsRollback reports whether a gateway responds but does not have what it had before the release. The rollback does not wait for a
// gateway that rejects its previous version.
func (r *Release) awaitsRollback(g *Gateway) bool {
	if !g.Responding {
		return false
	}
	if !r.IsVersionRelease {
		return g.Config != r.Previous
	}
	previous := r.PreviousVersions[g.Name]
	return previous != "" && g.Version != previous && g.VersionRejected == ""
}
