package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"robindrum/internal/testbed/platform"
)

const (
	soakSeedsVariable = "ROBINDRUM_SOAK_SEEDS" // number of runs
	soakFirstVariable = "ROBINDRUM_SOAK_FIRST" // seed of the first run
	defaultSoakSeeds  = 2

	soakNodes       = 6
	soakBackends    = 5
	crowdSize       = 520                    // idle connections to a node that may have 512 descriptors
	terminationTime = 700 * time.Millisecond // from the longest deadline behind SIGTERM until SIGKILL
)

// soak is one run with troubles that are drawn from its seed.
type soak struct {
	*fleet
	seed uint64
	rng  *rand.Rand
}

// Guards against lost requests and sends to draining servers under troubles of the list, kills, and signals in series.
func TestSoak(t *testing.T) {
	seeds, first := soakNumber(t, soakSeedsVariable, defaultSoakSeeds), soakNumber(t, soakFirstVariable, 1)
	for i := range seeds {
		seed := uint64(first + i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := &soak{seed: seed, rng: rand.New(rand.NewPCG(seed, 0x736f616b))}
			s.run(t)
		})
	}
}

func soakNumber(t *testing.T, variable string, fallback int) int {
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 {
		t.Fatalf("%s must be a number of at least 1, got %q", variable, text)
	}
	return number
}

func (s *soak) run(t *testing.T) {
	options := platform.DiscoveryOptions{
		CostPerCall:        time.Duration(1+s.rng.IntN(2)) * time.Second / soakNodes,
		Patience:           2 * time.Second,
		EmptyWhenUnchanged: s.chance(0.5),
	}
	if s.chance(0.6) {
		faults := []platform.AnswerFault{platform.BreaksOff, platform.ResetWithin, platform.StopsShort}
		options.Fault = platform.AlternatingFaults(s.seed, 0.3, faults...)
	}
	crowded := s.chance(0.3)
	s.fleet = startFleet(t, soakNodes, soakBackends, s.seed, options, 20*time.Millisecond, 60*time.Millisecond, 400*time.Millisecond)
	s.pause(3*time.Second, 6*time.Second)
	if crowded {
		defer s.crowd().Stop()
	}
	s.troubleList()
	s.discovery.SetState("s0", platform.Draining)
	if s.chance(0.5) {
		s.pause(0, 600*time.Millisecond)
	}
	s.hangUp(1 + s.rng.IntN(3))
	s.restart(t, killedNodes(s.rng, soakNodes, 0.5), s.seed+1)
	s.pause(0, 3*time.Second)
	s.discovery.SetDown(false)
	s.troubleList()
	s.discovery.SetState("s1", platform.Draining)
	s.pause(0, 4*time.Second)
	s.discovery.SetDown(false)
	time.Sleep(8500 * time.Millisecond)
	s.terminate(s.chance(0.5))
	s.check(t)
}

func (s *soak) chance(share float64) bool { return s.rng.Float64() < share }

func (s *soak) pause(least, most time.Duration) {
	time.Sleep(least + time.Duration(s.rng.Int64N(int64(most-least))))
}

// crowd fills the descriptors of a node with idle clients.
func (s *soak) crowd() *platform.Crowd {
	i := s.rng.IntN(soakNodes)
	s.record.Printf("n%d: a crowd comes", i)
	s.clients[i].SetCrowded(true)
	return platform.StartCrowd(s.nodes[i].Listen, crowdSize)
}

// troubleList breaks the open watches, with or without an outage of the service, or leaves them as they are.
func (s *soak) troubleList() {
	s.discovery.SetDown(s.chance(0.4))
	if s.chance(0.8) {
		s.discovery.BreakWatches(s.chance(0.5))
	}
}

// hangUp sends so many SIGHUPs to each node in quick succession.
func (s *soak) hangUp(count int) {
	for range count {
		for _, node := range s.nodes {
			node.Signal(syscall.SIGHUP)
		}
		s.pause(0, 300*time.Millisecond)
	}
}

// terminate ends all nodes by signals in series while some backends may hang. Clients open connections for 0.4 s more and use those that
// they have until SIGKILL.
func (s *soak) terminate(hanging bool) {
	s.backends[2].SetHanging(hanging)
	s.pause(0, longDeadline)
	s.record.Printf("SIGTERM, backend s2 hangs: %t", hanging)
	for _, node := range s.nodes {
		node.Signal(syscall.SIGTERM)
	}
	kill := time.Now().Add(longDeadline + terminationTime)
	s.pause(200*time.Millisecond, 400*time.Millisecond)
	for _, clients := range s.clients {
		clients.SetConnecting(false)
	}
	for range s.rng.IntN(3) {
		signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[s.rng.IntN(2)]
		for _, node := range s.nodes {
			node.Signal(signal)
		}
		s.pause(0, 300*time.Millisecond)
	}
	time.Sleep(time.Until(kill))
	for i, node := range s.nodes {
		if !node.Exited() {
			s.record.Printf("n%d: still runs at SIGKILL", i)
			node.Kill()
		} else if code := node.ExitCode(); code != 0 {
			s.record.Breach("crash: n%d exited with code %d: %s", i, code, node.Log())
		}
	}
	time.Sleep(time.Second) // until the last requests have ended
}
