package config

import "path/filepath"

// WitnessFile is the configuration of a process that votes and serves no traffic.
type WitnessFile struct {
	Fleet Fleet `yaml:"fleet"`
	Admin Admin `yaml:"admin"`
	Log   Log   `yaml:"log"`
}

// LoadWitness reads and checks the file of a witness. The error is of type Errors.
func LoadWitness(path string) (*WitnessFile, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	w := &WitnessFile{}
	d := &decoder{file: path}
	d.decode(text, w)
	if err := d.err(); err != nil {
		return nil, err
	}
	// The sections that it shares with a gateway have the same defaults and checks.
	f := &File{Admin: w.Admin, Log: w.Log}
	f.setDefaults()
	w.Admin = f.Admin
	w.Log = f.Log
	w.Fleet.setDefaults()
	f.checkAdmin(d)
	f.checkLog(d)
	w.Fleet.check(d)
	w.checkRole(d)
	if err := d.err(); err != nil {
		return nil, err
	}
	w.Fleet.Quorum.Directory = resolveIn(filepath.Dir(path), w.Fleet.Quorum.Directory)
	return w, nil
}

func (w *WitnessFile) checkRole(d *decoder) {
	if !w.Fleet.IsVoter() {
		d.errorAt("fleet.member", "%q is not among fleet.quorum.voters: a witness votes and does nothing else", w.Fleet.Member)
	}
	if w.Fleet.Subscription != nil || len(w.Fleet.Posts) > 0 {
		d.errorAt("fleet", "a witness has no duties: leave subscription and posts out")
	}
}

// Warnings returns what is valid and should be looked at.
func (w *WitnessFile) Warnings() []string { return w.Fleet.warnings() }
