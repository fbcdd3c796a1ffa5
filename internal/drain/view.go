package drain

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// View is the part of the ledger that gateways need.
type View struct {
	Term     uint64    `json:"term"`
	Version  uint64    `json:"version"`
	Requests []Request `json:"out"` // granted, or keeping their targets out of service; in the order of submission
}

// View returns the ledger's view, marked with a term of the quorum. Later calls on the ledger do not change the returned view.
func (l *Ledger) View(term uint64) View {
	view := View{Term: term, Version: l.Version}
	for _, r := range l.requestsBySeq() {
		if r.State == Granted || r.State.Unavailable() {
			view.Requests = append(view.Requests, *r)
		}
	}
	return view
}

// NewerThan reports whether the view is newer than another one: by version, then by term.
func (v *View) NewerThan(other *View) bool {
	if v.Version != other.Version {
		return v.Version > other.Version
	}
	return v.Term > other.Term
}

// List returns all requests in the order of their submission. The slice is never nil.
func (l *Ledger) List() []Request {
	list := make([]Request, 0, len(l.Requests))
	for _, r := range l.requestsBySeq() {
		list = append(list, *r)
	}
	return list
}

// BudgetStatus is the usage of a budget within one group of members that the budget counts together.
type BudgetStatus struct {
	Name        string   `json:"name"`
	Scope       string   `json:"scope"` // describes the group
	Total       int      `json:"of"`
	Allowed     int      `json:"bound"` // how many may be unavailable
	Unavailable []string `json:"out"`   // keys of the members that are unavailable or reserved, sorted
}

// budgetGroup identifies a BudgetStatus.
type budgetGroup struct {
	name  string
	scope string
}

// BudgetStatuses returns the status of each budget, one for each zone, site or cluster that the budget counts separately.
func (l *Ledger) BudgetStatuses() []BudgetStatus {
	var statuses []BudgetStatus
	listed := map[budgetGroup]bool{}
	table := l.usageTable()
	add := func(member Target, site, zone string) {
		for _, usage := range table.forMember(member) {
			group := budgetGroup{name: usage.name, scope: l.scopeOf(usage.name).describe(member, site, zone)}
			if listed[group] {
				continue
			}
			listed[group] = true
			statuses = append(statuses, usage.status(group))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.Gateways)) {
		gateway := l.Gateways[name]
		add(Target{Gateway: name}, gateway.Site, gateway.Zone)
	}
	for _, key := range slices.Sorted(maps.Keys(l.Endpoints)) {
		endpoint := l.Endpoints[key]
		add(Target{Cluster: endpoint.Cluster, Endpoint: endpoint.Address}, "", endpoint.Zone)
	}
	return statuses
}

// status returns the usage as the status of a group.
func (u *budgetUsage) status(group budgetGroup) BudgetStatus {
	var unavailable []string
	for _, key := range slices.Sorted(maps.Keys(u.unavailable)) {
		unavailable = append(unavailable, string(key))
	}
	return BudgetStatus{
		Name:        group.name,
		Scope:       group.scope,
		Total:       u.total,
		Allowed:     u.allowed,
		Unavailable: unavailable,
	}
}

// scopeOf returns the scope of the first budget with the name. Such a budget must exist.
func (l *Ledger) scopeOf(name string) *Scope {
	i := slices.IndexFunc(l.Budgets, func(b Budget) bool { return b.Name == name })
	return &l.Budgets[i].Scope
}

// describe returns a description for operators of the group in which the scope counts a member at a site and in a zone.
func (s *Scope) describe(member Target, site, zone string) string {
	text := ""
	if s.Cluster != "" {
		text = "cluster " + member.Cluster
	}
	if s.EachSite || s.Site != "" || s.EachZone && member.Gateway != "" {
		text += " site " + site
	}
	if s.EachZone || s.Zone != "" {
		text += " zone " + zone
	}
	return strings.TrimSpace(cmp.Or(text, "all"))
}
