package demo

import (
	"context"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"robindrum/internal/testbed/controlplane"
)

// showInterval is the time between prints of the progress.
const showInterval = time.Second

// step is an event of a scene.
type step struct {
	at   float64 // fraction of the duration
	text string
	do   func() error // optional
}

func (r *run) steps() []step {
	switch r.options.Scene {
	case zoneLossScene:
		return r.zoneLossSteps()
	case overloadScene:
		return overloadSteps()
	}
	return r.mainSteps()
}

func (r *run) mainSteps() []step {
	drained, crashed, removed := r.servers[1], r.servers[4], r.servers[0]
	return []step{
		{0, "the load begins; sapporo-3 takes 80 ms, the others 4 ms", nil},
		{0.15, "sapporo-2 drains", func() error { return r.drain(drained) }},
		{0.3, "ishikari-2 dies; the control plane still lists it as healthy", func() error {
			crashed.Kill()
			return nil
		}},
		{0.4, "the control plane sends a list with port 0: rejected, the previous list stays in use", r.pushInvalid},
		{0.5, "ishikari-2 is back and cold: removed from the list and added again", func() error {
			return r.returnCold([]*server{crashed})
		}},
		{0.6, "the control plane goes away", func() error {
			r.controlPlane.Stop()
			return nil
		}},
		{0.75, "the control plane is back, without sapporo-1 and with an older version", func() error {
			return r.restartControlPlaneWithout(removed)
		}},
		{0.85, "sapporo-1 is off the list by now", func() error {
			removed.SetDrainedAt(time.Now())
			return nil
		}},
	}
}

func (r *run) drain(s *server) error {
	s.health = corev3.HealthStatus_DRAINING
	err := r.push()
	s.SetDrainedAt(time.Now())
	return err
}

// pushInvalid has the control plane serve an endpoint list with port 0.
func (r *run) pushInvalid() error {
	invalid := r.assignment()
	address := invalid.Endpoints[0].LbEndpoints[0].GetEndpoint().Address
	address.GetSocketAddress().PortSpecifier = &corev3.SocketAddress_PortValue{}
	_, err := r.controlPlane.Push("bad", false, controlplane.Resource{Name: "tickets", Body: invalid})
	return err
}

// returnCold restarts servers and has the control plane remove them and add them again, so that the gateway treats them as new.
func (r *run) returnCold(servers []*server) error {
	for _, s := range servers {
		if err := s.Restart(); err != nil {
			return err
		}
		s.listed = false
	}
	if err := r.push(); err != nil {
		return err
	}
	for _, s := range servers {
		s.listed = true
	}
	return r.push()
}

func (r *run) restartControlPlaneWithout(s *server) error {
	s.listed = false
	r.controlPlane.ClearAll()
	r.version = 0
	if err := r.push(); err != nil {
		return err
	}
	return r.controlPlane.Restart()
}

// playSteps runs each step of the scene at its time and prints the progress until loaded is closed. If ctx ends, it runs no further step
// and still waits until loaded is closed.
func (r *run) playSteps(ctx context.Context, loaded <-chan struct{}) {
	steps := r.steps()
	ticker := time.NewTicker(showInterval)
	defer ticker.Stop()
	for {
		var next <-chan time.Time
		if len(steps) > 0 {
			at := r.began.Add(time.Duration(steps[0].at * float64(r.options.Duration)))
			next = time.After(time.Until(at))
		}
		select {
		case <-loaded:
			r.show()
			return
		case <-ctx.Done():
			<-loaded
			return
		case <-ticker.C:
			r.show()
		case text := <-r.events:
			r.printEvent(text)
		case <-next:
			r.runStep(steps[0])
			steps = steps[1:]
		}
	}
}

func (r *run) runStep(s step) {
	text := s.text
	if s.do != nil {
		if err := s.do(); err != nil {
			text += ": " + err.Error()
		}
	}
	r.printEvent(text)
}
