package leaderelection

import "time"

// State is the state of a task in this process.
type State string

// States of a task.
const (
	Candidate State = "asking"    // no reply from the quorum yet
	Waiting   State = "waiting"   // another process holds the lease, or the quorum rejected the request
	Leading   State = "holding"   // this process holds the lease, and the task runs
	Overdue   State = "overdue"   // the lease has expired but the task has not returned; receivers reject its actions
	NoQuorum  State = "no quorum" // the quorum does not answer
)

// Status describes a task in this process.
type Status struct {
	Name  string `json:"name"`
	State State  `json:"state"`
	// Token is the fencing token of the lease, or 0 if this process does not hold it.
	Token uint64 `json:"token,omitempty"`
	// Since is the reading of the Elector's clock when State or Token last changed.
	Since time.Duration `json:"since"`
	// TimesLed is the number of times that this process became the leader.
	TimesLed int `json:"held"`
	// TimesOverdue is the number of times that the task did not return before its lease expired.
	TimesOverdue int `json:"overdue"`
	// Error is the error that led to State, or empty.
	Error string `json:"error,omitempty"`
}

// Status returns the status of each task that was passed to Run, in no particular order.
func (e *Elector) Status() []Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	statuses := make([]Status, 0, len(e.statuses))
	for _, status := range e.statuses {
		statuses = append(statuses, *status)
	}
	return statuses
}

// setState records a task's state, its token and the error that led to the state.
func (e *Elector) setState(task *Task, state State, token uint64, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.statuses[task.Name]
	if status == nil {
		status = &Status{Name: task.Name}
		e.statuses[task.Name] = status
	}
	if status.State != state || status.Token != token {
		status.Since = e.opt.Now()
		switch state {
		case Leading:
			status.TimesLed++
		case Overdue:
			status.TimesOverdue++
		}
		e.opt.Log.Info("task state changed", "task", task.Name, "state", string(state), "token", token)
	}
	if status.State == Leading && state != Leading {
		e.leading--
	}
	if status.State != Leading && state == Leading {
		e.leading++
	}
	status.State = state
	status.Token = token
	status.Error = ""
	if err != nil {
		status.Error = err.Error()
	}
}
