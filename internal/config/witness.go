package config

import "path/filepath"

// WitnessFile is the configuration of a witness, a voter that serves no traffic.
type WitnessFile struct {
	Fleet Fleet `yaml:"fleet"`
	Admin Admin `yaml:"admin"`
	Log   Log   `yaml:"log"`
}

// LoadWitness reads and checks the configuration file of a witness. The error is of type Errors.
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
	// The sections that a witness shares with a gateway have the same defaults and checks.
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

// checkRole checks that the witness is a voter and has no settings for other tasks.
func (w *WitnessFile) checkRole(d *decoder) {
	if !w.Fleet.IsVoter() {
		d.errorAt("fleet.member", "must be one of fleet.quorum.voters, because a witness only votes, got %q", w.Fleet.Member)
	}
	if w.Fleet.Subscription != nil || len(w.Fleet.Posts) > 0 {
		d.errorAt("fleet", "subscription and posts must not be set: a witness only votes")
	}
}

// Warnings describes settings that are valid but questionable.
func (w *WitnessFile) Warnings() []string { return w.Fleet.warnings() }
