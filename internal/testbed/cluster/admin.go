package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"robindrum/internal/drain"
	"robindrum/internal/fleet"
	"robindrum/internal/gateway"
	"robindrum/internal/leaderelection"
	"robindrum/internal/quorum"
)

// maxErrorText is the maximum number of bytes that are read of an error response.
const maxErrorText = 4 << 10

// Get requests a path of the node's admin listener and decodes the JSON response into result. For a status other than 200 it returns
// an error with the response's text.
func (n *Node) Get(path string, result any) error {
	response, err := n.cluster.client.Get("http://" + n.Admin + path)
	if err != nil {
		return err
	}
	return n.decode(response, result)
}

// post sends a command as JSON to a path of the node's admin listener and decodes the response into result, which may be nil.
func (n *Node) post(path string, command, result any) error {
	text, err := json.Marshal(command)
	if err != nil {
		return err
	}
	response, err := n.cluster.client.Post("http://"+n.Admin+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	return n.decode(response, result)
}

// decode decodes a JSON response into result, unless result is nil, and closes the response. A status other than 200 is an error.
func (n *Node) decode(response *http.Response, result any) error {
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
		return fmt.Errorf("%s: %s: %s", n.Name, response.Status, text)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}

// Fleet returns the node's view of the fleet.
func (n *Node) Fleet() (fleet.Status, error) {
	var status fleet.Status
	err := n.Get("/fleet", &status)
	return status, err
}

// Status returns the status of a gateway.
func (n *Node) Status() (gateway.Status, error) {
	var status gateway.Status
	err := n.Get("/status", &status)
	return status, err
}

// Ready reports whether a gateway's readiness check succeeds.
func (n *Node) Ready() bool {
	response, err := n.cluster.client.Get("http://" + n.Admin + "/health/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// SendDrain sends a command about drain requests to the node, which forwards it to the quorum: drain, undrain, halt or resume. It
// returns the drain request as stored by the quorum.
func (n *Node) SendDrain(command string, request drain.Request) (drain.Request, error) {
	var stored drain.Request
	err := n.post("/fleet/"+command, request, &stored)
	return stored, err
}

// DrainRequests returns all drain requests by ID. The node reads them from the quorum.
func (n *Node) DrainRequests() (map[string]drain.Request, error) {
	var list quorum.DrainList
	err := n.Get("/fleet/orders", &list)
	requests := map[string]drain.Request{}
	for _, request := range list.Requests {
		requests[request.ID] = request
	}
	return requests, err
}

// SendRelease sends a command about releases to the node, which forwards it to the quorum.
func (n *Node) SendRelease(command quorum.Command) error {
	return n.post("/fleet/release", command, nil)
}

// Releases returns the fleet's releases. The node reads them from the quorum.
func (n *Node) Releases() (quorum.ReleaseList, error) {
	var list quorum.ReleaseList
	err := n.Get("/fleet/releases", &list)
	return list, err
}

// Leases returns the fleet's leases. The node reads them from the quorum.
func (n *Node) Leases() (quorum.LeaseList, error) {
	var list quorum.LeaseList
	err := n.Get("/fleet/leases", &list)
	return list, err
}

// leadsTask reports whether the node's status says that it leads a leader-only task.
func (n *Node) leadsTask(task string) bool {
	status, err := n.Fleet()
	if err != nil {
		return false
	}
	for _, t := range status.Tasks {
		if t.Name == task && t.State == leaderelection.Leading {
			return true
		}
	}
	return false
}

// leadsQuorum reports whether the node's status says that it leads the quorum.
func (n *Node) leadsQuorum() bool {
	status, err := n.Fleet()
	return err == nil && status.Vote != nil && status.Vote.State == voterLeads
}

// States of a voter that takes part in votes, as quorum.Status reports them.
const (
	voterLeads   = "leader"
	voterFollows = "follower"
)
