// Package fleet connects a process with the other processes of its fleet: one address, the membership, the vote in the quorum, and
// the leader-only tasks. Requests never wait for it.
//
// The quorum's leader reconciles: it assigns each gateway the drains, the configuration and the version that the quorum has agreed
// on, and commits what the gateways report. All gateways are assignees, also those on the leader's own process.
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
	postIdleConnections = 2 // for each host
	postIdleTimeout     = 30 * time.Second
	// leaseMaxWaitLengths is after how many lengths of a lease a waiter goes first whatever its site.
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
	server     *quorum.Server // nil: this process does not vote
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

	controlCtx     context.Context // of the reconciler and of the configurer; it outlasts Drain
	stopControl    context.CancelFunc
	controlWorkers sync.WaitGroup
}

// New listens on the fleet's address and opens the voter's folder where this process is a voter. An unusable folder keeps it from
// voting and from nothing else (see NoVote). The Fleet is silent until Start; its owner calls Stop. version is the version of the
// configuration, state what the process announces at first.
func New(conf *config.Fleet, zone, version string, state membership.State, log *slog.Logger) (*Fleet, error) {
	return NewOn(nil, conf, zone, version, state, log)
}

// NewOn is New on a given network; nil: this machine's sockets.
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
		Incarnation: uint64(time.Now().UnixNano()), // rises with each start while the wall clock is not set back by more than a process lives
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
	via := map[string]string{}
	for _, v := range f.conf.AddressOverrides {
		via[v.Member] = v.Address
	}
	var err error
	f.node, err = peer.Listen(peer.Options{Fleet: f.conf.Name, Address: f.conf.Address, Via: via, Network: network, Log: f.log})
	return err
}

// openQuorum opens this process's voter, where it has one, and the client of the quorum.
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

// Rules returns the rules of a leader-only task's lease that prefers holders of a site; empty: of none.
func (f *Fleet) Rules(site string) lease.Rules {
	length := f.conf.LeaseLength.D()
	return lease.Rules{Length: length, Site: site, MaxWait: min(leaseMaxWaitLengths*length, lease.MaxLength), MinHold: 0}
}

// AddTask adds a leader-only task that this process may run. It must be called before Start.
func (f *Fleet) AddTask(task leaderelection.Task) { f.tasks = append(f.tasks, task) }

// Node returns the fleet's address, for handlers that are registered before Start.
func (f *Fleet) Node() *peer.Node { return f.node }

// Members returns the membership as this process sees it.
func (f *Fleet) Members() membership.View { return f.members }

// Zone returns this process's zone.
func (f *Fleet) Zone() string { return f.zone }

// Config returns the configuration that the Fleet was made from.
func (f *Fleet) Config() *config.Fleet { return f.conf }

// NoVote returns why a configured voter does not vote; empty: it votes, or none is configured.
func (f *Fleet) NoVote() string {
	if f.voterError == "" && f.server != nil {
		return f.server.Stopped()
	}
	return f.voterError
}

// Start begins to serve the other processes, to vote, and to ask for the leader-only tasks. It does not block.
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

// watchMembers wakes the elector when a member that may lead has restarted or left service.
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

// Announce changes what the other members know of this process: its state and the version of its configuration.
func (f *Fleet) Announce(state membership.State, version string) { f.members.Announce(state, version) }

// Drain stops the leader-only tasks, gives their leases back, and announces that this process is draining. It blocks until the tasks
// have returned. Everything else goes on.
func (f *Fleet) Drain() {
	f.stopTasks()
	f.taskWorkers.Wait() // the leases must be free when the others hear of it and ask for them
	f.members.Announce(membership.Draining, f.members.Self().Config)
}

// Stop stops the leader-only tasks, gives their leases back, announces within a time that this process leaves, and closes everything.
// It blocks until all goroutines have ended.
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
