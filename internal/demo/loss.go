package demo

// zoneLossSteps returns the steps of the scene in which a zone fails and returns.
func (r *run) zoneLossSteps() []step {
	zone := r.servers[:serversPerZone]
	return []step{
		{0, "the load begins; the gateway is in sapporo and sends requests to servers there", nil},
		{0.15, "sapporo goes dark: its three servers die; the control plane still lists them as healthy", func() error {
			for _, s := range zone {
				s.Kill()
			}
			return nil
		}},
		{0.4, "sapporo is back, all servers cold: removed from the list and added again", func() error { return r.returnCold(zone) }},
	}
}
