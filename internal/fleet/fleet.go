// Package fleet connects a process with the other processes of its fleet: it provides the process's address in the fleet, the
// membership, the vote in the quorum, and the leader-only tasks. Client requests never wait for it.
//
// The quorum's leader reconciles: it assigns each gateway the drains, the configuration and the version that the quorum has agreed
// on, and commits what the gateways report. Every gateway receives assignments, including the one in the leader's process.
package fleet

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"robindrum/internal/config"
	"robindrum/internal/leaderelection"
	"robindrum/internal/lease"
	"robindrum/internal/membership"
	"robindrum/internal/peer"
	"robindrum/internal/quorum"
)

const (
	postIdleConnections = 2 // per host
	postIdleTimeout     = 30 * time.Second
	// leaseMaxWaitLengths is the time, in lengths of the lease, after which the longest waiter is preferred regardless of its site.
	leaseMaxWaitLengths = 3
)

// Fleet is a process's part in its fleet. Its methods may be called concurrently, except those that must be called before Start.
type Fleet struct {
	conf *config.Fleet
	zone string
	log  *slog.Logger
	now  func() time.Duration

	node       *peer.Node
	members    *membership.List
	server     *quorum.Server // nil if this process does not vote
	voterError string         // why the voter could not be started
	client     *quorum.Client
	elector    *leaderelection.Elector
	postClient *http.Client
	assignee   *assignee
	reconciler *reconciler

	tasks       []leaderelection.Task // fixed at Start
	tasksCtx    context.Context
	stopTasks   context.CancelFunc
	taskWorkers sync.WaitGroup

	controlCtx     context.Context // of the reconciler and the configurer; Drain does not cancel it
	stopControl    context.CancelFunc
	controlWorkers sync.WaitGroup
}

// New listens on the process's fleet address, opens the voter's folder if this process is a voter, and joins the membership. If the
// folder is unusable, the process does not vote, but everything else works (see NoVote). The Fleet serves no other process until Start,
// and the caller must call Stop. version is the version of the configuration, and state is the first state that the process announces.
func New(conf *config.Fleet, zone, version string, state membership.State, log *slog.Logger) (*Fleet, error) {
	return NewOn(nil, conf, zone, version, state, log)
}

// NewOn is New on the given network. A nil network means this machine's sockets.
func NewOn(network peer.Network, conf *config.Fleet, zone, version string, state membership.State, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{
		conf:       conf,
		zone:       zone,
		log:        log,
		now:        Clock,
		postClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: postIdleConnections, IdleConnTimeout: postIdleTimeout}},
	}
	f.assignee = newAssignee(f)
	f.reconciler = newReconciler(f)
	f.tasksCtx, f.stopTasks = context.WithCancel(context.Background())
	f.controlCtx, f.stopControl = context.WithCancel(context.Background())
	if err := f.listen(network); err != nil {
		return nil, err
	}
	f.openQuorum()
	self := membership.Member{
		Name:        conf.Member,
		Site:        conf.Site,
		Zone:        zone,
		Program:     Version(),
		Config:      version,
		Incarnation: uint64(time.Now().UnixNano()), // rises with each start unless the wall clock is set back by more than the process's lifetime
		State:       state,
		Address:     conf.Advertise,
	}
	f.elector = leaderelection.NewElector(f.client, leaderelection.Options{
		Member: lease.Member{Name: conf.Member, Incarnation: self.Incarnation, Site: conf.Site},
		Now:    f.now,
		Log:    log,
	})
	for _, post := range conf.Posts {
		f.AddTask(leaderelection.Task{Name: "post/" + post.Name, Rules: f.Rules(""), Run: f.postTask(post)})
	}
	members, err := membership.Start(f.node, membership.Options{
		Fleet:  conf.Name,
		Self:   self,
		Seeds:  conf.Seeds,
		Probe:  conf.ProbeInterval.D(),
		Forget: conf.ForgetAfter.D(),
		Now:    f.now,
		Log:    log,
	})
	if err != nil {
		f.Stop(0)
		return nil, err
	}
	f.members = members
	return f, nil
}

func (f *Fleet) listen(network peer.Network) error {
	overrides := map[string]string{}
	for _, override := range f.conf.AddressOverrides {
		overrides[override.Member] = override.Address
	}
	var err error
	f.node, err = peer.Listen(peer.Options{Fleet: f.conf.Name, Address: f.conf.Address, Via: overrides, Network: network, Log: f.log})
	return err
}

// openQuorum opens this process's voter, if it has one, and the client of the quorum.
func (f *Fleet) openQuorum() {
	conf := &f.conf.Quorum
	heartbeat := conf.ElectionTimeout.D()
	voters := make([]quorum.Voter, 0, len(conf.Voters))
	for _, v := range conf.Voters {
		voters = append(voters, quorum.Voter(v))
	}
	if f.conf.IsVoter() {
		server, err := quorum.Open(f.node, quorum.Options{
			Dir:         conf.Directory,
			Name:        f.conf.Member,
			Voters:      voters,
			Heartbeat:   heartbeat,
			MaxLogBytes: int64(conf.MaxBytes),
			Log:         f.log,
		})
		f.server = server
		if err != nil {
			f.voterError = err.Error()
			f.log.Error("voter failed to start", "error", err)
		}
	}
	f.client = quorum.NewClient(f.node, voters, min(2*heartbeat, f.conf.LeaseLength.D()/4), f.now)
}

// Rules returns the rules for the lease of a leader-only task. Holders at the given site are preferred; an empty site means no
// preference.
func (f *Fleet) Rules(site string) lease.Rules {
	length := f.conf.LeaseLength.D()
	return lease.Rules{Length: length, Site: site, MaxWait: min(leaseMaxWaitLengths*length, lease.MaxLength), MinHold: 0}
}

// AddTask adds a leader-only task that this process may run. It must be called before Start.
func (f *Fleet) AddTask(task leaderelection.Task) { f.tasks = append(f.tasks, task) }

// Node returns this process's node in the fleet. Handlers must be registered on it before Start.
func (f *Fleet) Node() *peer.Node { return f.node }

// Members returns the membership as this process sees it.
func (f *Fleet) Members() membership.View { return f.members }

// Zone returns this process's zone.
func (f *Fleet) Zone() string { return f.zone }

// Config returns the configuration that the Fleet was made from.
func (f *Fleet) Config() *config.Fleet { return f.conf }

// NoVote returns why a configured voter does not vote, or "" if it votes or none is configured.
func (f *Fleet) NoVote() string {
	if f.voterError == "" && f.server != nil {
		return f.server.StopReason()
	}
	return f.voterError
}

// Start begins to serve the other processes, to vote, and to request the leases of the leader-only tasks. It does not block.
func (f *Fleet) Start() {
	f.node.Serve()
	if f.server != nil {
		f.server.Start()
		f.controlWorkers.Go(func() { f.reconciler.run(f.controlCtx) })
	}
	for _, task := range f.tasks {
		f.taskWorkers.Go(func() { f.elector.Run(f.tasksCtx, task) })
	}
	f.taskWorkers.Go(f.watchMembers)
	if f.assignee.agent != nil {
		f.controlWorkers.Go(func() { f.assignee.runConfigure(f.controlCtx) })
	}
}

// watchMembers wakes the elector when a member has restarted or left service, since it may have held a lease.
func (f *Fleet) watchMembers() {
	events := f.members.Watch()
	for {
		select {
		case <-f.tasksCtx.Done():
			return
		case event := <-events:
			state := event.Member.State
			active := state == membership.Joining || state == membership.Serving
			if event.Restarted || !active {
				f.elector.Wake()
			}
		}
	}
}

// Announce announces this process's state and the version of its configuration to the other members.
func (f *Fleet) Announce(state membership.State, version string) { f.members.Announce(state, version) }

// Drain stops the leader-only tasks, releases their leases, and announces that this process is draining. It blocks until the tasks
// have returned. Everything else keeps running.
func (f *Fleet) Drain() {
	f.stopTasks()
	f.taskWorkers.Wait() // the leases must be released before other members learn of the drain and request them
	f.members.Announce(membership.Draining, f.members.Self().Config)
}

// Stop stops the leader-only tasks, releases their leases, announces that this process is leaving, and closes everything. timeout limits
// how long it waits to leave the membership. It blocks until all goroutines have ended.
func (f *Fleet) Stop(timeout time.Duration) {
	f.stopTasks()
	f.stopControl()
	f.taskWorkers.Wait()
	f.controlWorkers.Wait()
	if f.members != nil {
		f.members.Announce(membership.Leaving, f.members.Self().Config)
		f.members.Stop(timeout)
	}
	if f.server != nil {
		f.server.Close()
	}
	f.node.Close()
	f.postClient.CloseIdleConnections()
}
