package drain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// budgetUsage is the usage of a budget within one group of members that the budget counts together.
type budgetUsage struct {
	name    string
	total   int
	allowed int // how many members may be unavailable
	members map[memberKey]bool
	// unavailable contains the members that are out of service for any reason or reserved by a request.
	unavailable map[memberKey]bool
}

// count returns how many of the targets are members.
func (u *budgetUsage) count(targets []Target) int {
	n := 0
	for _, t := range targets {
		if u.members[t.key()] {
			n++
		}
	}
	return n
}

// countAvailable returns how many of the targets are available members.
func (u *budgetUsage) countAvailable(targets []Target) int {
	n := 0
	for _, t := range targets {
		key := t.key()
		if u.members[key] && !u.unavailable[key] {
			n++
		}
	}
	return n
}

// checkFeasible returns an error if the budget would not allow the targets to be unavailable even with all other members available.
func (u *budgetUsage) checkFeasible(targets []Target) error {
	if u.allowed == 0 {
		return fmt.Errorf("budget %s allows none of %d to be out", u.name, u.total)
	}
	if n := u.count(targets); n > u.allowed {
		return fmt.Errorf("budget %s allows %d of %d to be out, this is %d", u.name, u.allowed, u.total, n)
	}
	return nil
}

// checkNow returns an error if the budget is exceeded, or would be with the targets unavailable as well. Targets that are already
// unavailable are not counted twice.
func (u *budgetUsage) checkNow(targets []Target) error {
	unavailable := len(u.unavailable)
	if unavailable+u.countAvailable(targets) <= u.allowed {
		return nil
	}
	names := firstNames(slices.Sorted(maps.Keys(u.unavailable)))
	return fmt.Errorf("budget %s: %d of %d are out, %d may be (%s)", u.name, unavailable, u.total, u.allowed, names)
}

// firstNames joins the first five names, followed by an ellipsis if there are more.
func firstNames(names []memberKey) string {
	const maxNames = 5
	var list []string
	for i, name := range names {
		if i == maxNames {
			list = append(list, "...")
			break
		}
		list = append(list, string(name))
	}
	return strings.Join(list, ", ")
}

// usageTable caches the usage of all budgets. It is valid until the ledger changes.
type usageTable struct {
	ledger     *Ledger
	reserved   map[Target]bool
	byLocation map[location][]budgetUsage
}

// location contains the properties of a gateway or an endpoint that determine which budgets apply.
type location struct {
	cluster string
	site    string
	zone    string
}

// usageTable returns an empty cache of the usage of the budgets in the ledger's current state.
func (l *Ledger) usageTable() *usageTable {
	return &usageTable{ledger: l, reserved: l.reserved(), byLocation: map[location][]budgetUsage{}}
}

// forMember returns the usage of each budget that applies to a single gateway or endpoint, or nil if the member is unknown.
func (u *usageTable) forMember(t Target) []budgetUsage {
	p, known := u.ledger.location(t)
	if !known {
		return nil
	}
	usages, cached := u.byLocation[p]
	if !cached {
		usages = u.ledger.computeUsage(t, u.reserved)
		u.byLocation[p] = usages
	}
	return usages
}

// checkNow returns an error if the target is unknown, or one that names the first budget that does not allow the target to be taken out
// of service now.
func (u *usageTable) checkNow(t Target) error {
	members := u.ledger.members(t)
	if len(members) == 0 {
		return unknownTargetError(t)
	}
	for _, member := range members {
		for _, usage := range u.forMember(member) {
			if err := usage.checkNow(members); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkFeasible returns an error if the target is unknown, or if a budget would not allow it to be unavailable even with all other
// members available. Before the first observation no gateway is known, and an unknown target is not an error, since it may be observed
// later.
func (l *Ledger) checkFeasible(t Target) error {
	members := l.members(t)
	if len(members) == 0 {
		if len(l.Gateways) == 0 {
			return nil
		}
		return unknownTargetError(t)
	}
	table := l.usageTable()
	for _, member := range members {
		for _, usage := range table.forMember(member) {
			if err := usage.checkFeasible(members); err != nil {
				return err
			}
		}
	}
	return nil
}

func unknownTargetError(t Target) error { return fmt.Errorf("nobody knows of %s", t) }

// location returns the location of a single gateway or endpoint, and whether the member is known.
func (l *Ledger) location(t Target) (location, bool) {
	if t.Gateway != "" {
		gateway, known := l.Gateways[t.Gateway]
		return location{cluster: t.Cluster, site: gateway.Site, zone: gateway.Zone}, known
	}
	endpoint, known := l.Endpoints[string(t.key())]
	return location{cluster: t.Cluster, zone: endpoint.Zone}, known
}

// computeUsage returns the usage of each budget that applies to a single gateway or endpoint.
func (l *Ledger) computeUsage(t Target, reserved map[Target]bool) []budgetUsage {
	var usages []budgetUsage
	for i := range l.Budgets {
		budget := &l.Budgets[i]
		usage := budgetUsage{name: budget.Name, members: map[memberKey]bool{}, unavailable: map[memberKey]bool{}}
		var applies bool
		if t.Gateway != "" {
			applies = l.countGateways(&usage, &budget.Scope, t, reserved)
		} else {
			applies = l.countEndpoints(&usage, &budget.Scope, t, reserved)
		}
		if !applies {
			continue
		}
		usage.total = len(usage.members)
		usage.allowed = budget.allowed(usage.total)
		usages = append(usages, usage)
	}
	return usages
}

// countGateways adds to the usage the gateways that the scope counts in the target's group. It returns false if the scope does not cover
// the target.
func (l *Ledger) countGateways(usage *budgetUsage, scope *Scope, t Target, reserved map[Target]bool) bool {
	gateway, known := l.Gateways[t.Gateway]
	if !known || !scope.includesGateway(gateway) {
		return false
	}
	for name, other := range l.Gateways {
		if !scope.groupsGateways(gateway, other) {
			continue
		}
		usage.members[memberKey(name)] = true
		if !other.Serving || reserved[Target{Gateway: name}] {
			usage.unavailable[memberKey(name)] = true
		}
	}
	return true
}

// countEndpoints adds to the usage the endpoints that the scope counts in the target's group. It returns false if the scope does not
// cover the target.
func (l *Ledger) countEndpoints(usage *budgetUsage, scope *Scope, t Target, reserved map[Target]bool) bool {
	endpoint, known := l.Endpoints[string(t.key())]
	if !known || !scope.includesEndpoint(t.Cluster, endpoint.Zone) {
		return false
	}
	for key, other := range l.Endpoints {
		if other.Cluster != t.Cluster || !scope.groupsZones(endpoint.Zone, other.Zone) {
			continue
		}
		usage.members[memberKey(key)] = true
		if !other.Healthy || reserved[Target{Cluster: other.Cluster, Endpoint: other.Address}] {
			usage.unavailable[memberKey(key)] = true
		}
	}
	return true
}

// reserved returns the gateways and endpoints that requests reserve. A cancelled request reserves each member of its target until that
// member has been observed in service.
func (l *Ledger) reserved() map[Target]bool {
	reserved := map[Target]bool{}
	for _, r := range l.Requests {
		if !r.State.holdsSlot() {
			continue
		}
		members := l.members(r.Target)
		if len(members) == 0 && r.Target.isSingle() {
			members = []Target{r.Target}
		}
		for _, member := range members {
			if r.State != Cancelled || !l.servesAgain(r, member) {
				reserved[member] = true
			}
		}
	}
	return reserved
}

// servesAgain reports whether a target has been observed in service since the request's last change of state.
func (l *Ledger) servesAgain(r *Request, t Target) bool {
	return l.ObservedVersion >= r.StateVersion && l.inService(t)
}

// inService reports whether each known member of the target is in service.
func (l *Ledger) inService(t Target) bool {
	for _, member := range l.members(t) {
		if !l.memberInService(member) {
			return false
		}
	}
	return true
}

// memberInService reports whether a single gateway or endpoint is known and in service.
func (l *Ledger) memberInService(t Target) bool {
	if t.Gateway != "" {
		return l.Gateways[t.Gateway].Serving
	}
	return l.Endpoints[string(t.key())].Healthy
}

// members returns the known gateways or endpoints that a target consists of, sorted by key.
func (l *Ledger) members(t Target) []Target {
	switch {
	case t.Gateway != "":
		if _, known := l.Gateways[t.Gateway]; known {
			return []Target{t}
		}
		return nil
	case t.OfGateways():
		return l.gatewaysOf(t)
	case t.Endpoint != "":
		if _, known := l.Endpoints[string(t.key())]; known {
			return []Target{t}
		}
		return nil
	}
	return l.endpointsOf(t)
}

// gatewaysOf returns the known gateways of the target, sorted by name.
func (l *Ledger) gatewaysOf(t Target) []Target {
	var members []Target
	for _, name := range slices.Sorted(maps.Keys(l.Gateways)) {
		gateway := l.Gateways[name]
		if t.MatchesGateway(name, gateway.Site, gateway.Zone) {
			members = append(members, Target{Gateway: name})
		}
	}
	return members
}

// endpointsOf returns the known endpoints of the target, sorted by key.
func (l *Ledger) endpointsOf(t Target) []Target {
	var members []Target
	for _, key := range slices.Sorted(maps.Keys(l.Endpoints)) {
		endpoint := l.Endpoints[key]
		if t.MatchesEndpoint(endpoint.Cluster, endpoint.Address, endpoint.Zone) {
			members = append(members, Target{Cluster: endpoint.Cluster, Endpoint: endpoint.Address})
		}
	}
	return members
}
