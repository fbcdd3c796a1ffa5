package drain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// budgetUsage is one budget as it applies to a gateway or an endpoint: the members that it counts together with it.
type budgetUsage struct {
	name    string
	total   int
	allowed int // of them, how many may be unavailable
	members map[memberKey]bool
	// unavailable are the members that are out of service for any reason, or reserved by a request.
	unavailable map[memberKey]bool
}

// count returns how many of the targets the budget counts.
func (u *budgetUsage) count(targets []Target) int {
	n := 0
	for _, t := range targets {
		if u.members[t.key()] {
			n++
		}
	}
	return n
}

// countAvailable returns how many of the targets the budget counts as available.
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

// checkEver returns an error where the budget would not allow the targets to be unavailable even if nothing else were.
func (u *budgetUsage) checkEver(targets []Target) error {
	if u.allowed == 0 {
		return fmt.Errorf("budget %s allows none of %d to be out", u.name, u.total)
	}
	if n := u.count(targets); n > u.allowed {
		return fmt.Errorf("budget %s allows %d of %d to be out, this is %d", u.name, u.allowed, u.total, n)
	}
	return nil
}

// checkNow returns an error where the budget is exceeded, or would be with the targets unavailable as well. Those of them that are
// unavailable already are not counted twice.
func (u *budgetUsage) checkNow(targets []Target) error {
	unavailable := len(u.unavailable)
	if unavailable+u.countAvailable(targets) <= u.allowed {
		return nil
	}
	names := firstNames(slices.Sorted(maps.Keys(u.unavailable)))
	return fmt.Errorf("budget %s: %d of %d are out, %d may be (%s)", u.name, unavailable, u.total, u.allowed, names)
}

// firstNames joins at most five names.
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

// usageTable is the usage of all budgets at one moment: it is valid until the ledger changes.
type usageTable struct {
	ledger   *Ledger
	reserved map[Target]bool
	byPlace  map[place][]budgetUsage
}

// place is what decides which budgets apply to a gateway or an endpoint.
type place struct {
	cluster string
	site    string
	zone    string
}

// usageTable returns the usage of the budgets as the ledger is now.
func (l *Ledger) usageTable() *usageTable {
	return &usageTable{ledger: l, reserved: l.reserved(), byPlace: map[place][]budgetUsage{}}
}

// of returns the usage of each budget that applies to a single gateway or endpoint; of one that is not known, nothing.
func (u *usageTable) of(t Target) []budgetUsage {
	p, known := u.ledger.place(t)
	if !known {
		return nil
	}
	usages, cached := u.byPlace[p]
	if !cached {
		usages = u.ledger.usageOf(t, u.reserved)
		u.byPlace[p] = usages
	}
	return usages
}

// checkNow returns an error that names the first budget by which the target may not be taken out of service now.
func (u *usageTable) checkNow(t Target) error {
	members := u.ledger.members(t)
	if len(members) == 0 {
		return unknownTargetError(t)
	}
	for _, member := range members {
		for _, usage := range u.of(member) {
			if err := usage.checkNow(members); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkEver returns an error where the target is not known, or a budget would not allow it to be unavailable even if nothing else
// were. Before the first observation nothing is known, and each target may be allowed later.
func (l *Ledger) checkEver(t Target) error {
	members := l.members(t)
	if len(members) == 0 {
		if len(l.Gateways) == 0 {
			return nil
		}
		return unknownTargetError(t)
	}
	table := l.usageTable()
	for _, member := range members {
		for _, usage := range table.of(member) {
			if err := usage.checkEver(members); err != nil {
				return err
			}
		}
	}
	return nil
}

func unknownTargetError(t Target) error { return fmt.Errorf("nobody knows of %s", t) }

// place returns the place of a single gateway or endpoint, and whether it is known.
func (l *Ledger) place(t Target) (place, bool) {
	if t.Gateway != "" {
		gateway, known := l.Gateways[t.Gateway]
		return place{cluster: t.Cluster, site: gateway.Site, zone: gateway.Zone}, known
	}
	endpoint, known := l.Endpoints[string(t.key())]
	return place{cluster: t.Cluster, zone: endpoint.Zone}, known
}

// usageOf returns the usage of each budget that applies to a single gateway or endpoint.
func (l *Ledger) usageOf(t Target, reserved map[Target]bool) []budgetUsage {
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

// countGateways adds the gateways that the scope counts together with the target; false where it does not include the target.
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

// countEndpoints adds the endpoints that the scope counts together with the target; false where it does not include the target.
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

// reserved returns the gateways and endpoints that requests reserve. A cancelled request reserves its target until that has been
// observed in service.
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

func (l *Ledger) memberInService(t Target) bool {
	if t.Gateway != "" {
		return l.Gateways[t.Gateway].Serving
	}
	return l.Endpoints[string(t.key())].Healthy
}

// members returns the known gateways or endpoints that a target consists of, in the order of their keys.
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
