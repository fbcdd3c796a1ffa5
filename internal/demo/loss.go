package demo

// zoneLossSteps are those of a zone that fails and returns.
func (r *run) zoneLossSteps() []step {
	zone := r.servers[:serversPerZone]
	return []step{
		{0, "the load begins; the gateway stands in sapporo and serves there", nil},
		{0.15, "sapporo goes dark: its three servers die, and nobody says so", func() error {
			for _, s := range zone {
				s.Kill()
			}
			return nil
		}},
		{0.4, "sapporo is back, all cold: taken from the list and put on it again", func() error { return r.returnCold(zone) }},
	}
}
