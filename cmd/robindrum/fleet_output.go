package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"robindrum/internal/fleet"
	"robindrum/internal/gateway"
	"robindrum/internal/leaderelection"
	"robindrum/internal/membership"
	"robindrum/internal/quorum"
)

// shownStates are the states by which members are counted, in the order of the output.
var shownStates = []membership.State{
	membership.Serving,
	membership.Joining,
	membership.Draining,
	membership.Leaving,
	membership.Witness,
	membership.Suspect,
	membership.Dead,
}

// showFleet prints the state of a process in its fleet.
func showFleet(out io.Writer, s *fleet.Status) error {
	fmt.Fprintf(out, "fleet %s, member %s (site %s, %s), birth %d\n", s.Name, s.Self.Name, orNone(s.Self.Site), s.Self.State, s.Self.Incarnation)
	showMemberCounts(out, s.Members)
	if s.Conflicts > 0 {
		fmt.Fprintf(out, "NAMES CLAIMED BY ANOTHER ADDRESS: %d times, see the log\n", s.Conflicts)
	}
	showContact(out, s.Contact)
	showVote(out, s)
	if s.Stale != "" {
		fmt.Fprintf(out, "STALE: %s\n", s.Stale)
	}
	return showTasks(out, s)
}

func showMemberCounts(out io.Writer, members []membership.Member) {
	counts := map[membership.State]int{}
	for _, m := range members {
		counts[m.State]++
	}
	fmt.Fprintf(out, "members: %d known", len(members))
	for _, state := range shownStates {
		if count := counts[state]; count > 0 {
			fmt.Fprintf(out, ", %d %s", count, state)
		}
	}
	fmt.Fprintln(out)
}

func showContact(out io.Writer, contact quorum.Contact) {
	switch {
	case contact.Error != "":
		fmt.Fprintf(out, "quorum: NO LEADER ANSWERS: %s\n", contact.Error)
	case contact.Age < 0:
		fmt.Fprintln(out, "quorum: not asked yet")
	default:
		fmt.Fprintf(out, "quorum: leader at %s answered %s ago\n", contact.Leader, seconds(contact.Age.Seconds()))
	}
}

func showVote(out io.Writer, s *fleet.Status) {
	if vote := s.Vote; vote != nil {
		fmt.Fprintf(out, "vote: %s, term %d, %d entries, %d KiB of log", vote.State, vote.Term, vote.Applied, vote.Bytes>>10)
		if vote.Leader != "" {
			fmt.Fprintf(out, ", leader %s", vote.Leader)
		}
		fmt.Fprintln(out)
		if vote.Reason != "" {
			fmt.Fprintf(out, "  %s\n", vote.Reason)
		}
	}
	if s.NoVote != "" {
		fmt.Fprintf(out, "THIS VOTER DOES NOT VOTE: %s\n", s.NoVote)
	}
}

func showTasks(out io.Writer, s *fleet.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(s.Tasks) > 0 {
		fmt.Fprintln(table, "DUTY\tSTATE\tTOKEN\tFOR\tGRANTS\tOVERDUE\tLAST ERROR")
	}
	for _, task := range s.Tasks {
		showTask(table, task, seconds((s.Now - task.Since).Seconds()))
	}
	return table.Flush()
}

func showTask(out io.Writer, task leaderelection.Status, age string) {
	fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%d\t%d\t%s\n", task.Name, task.State, task.Token, age, task.TimesLed, task.TimesOverdue, task.Error)
}

// showMembers prints a table of the fleet's members.
func showMembers(out io.Writer, s *fleet.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tSITE\tZONE\tSTATE\tFOR\tADDRESS\tPROGRAM\tCONFIGURATION\tBIRTH")
	for _, m := range s.Members {
		age := seconds((s.Now - m.Since).Seconds())
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", m.Name, m.Site, m.Zone, m.State, age, m.Address, m.Program, m.Config, m.Incarnation)
	}
	return table.Flush()
}

// showLeases prints a table of the leases.
func showLeases(out io.Writer, list *quorum.LeaseList) error {
	if !list.Fresh {
		fmt.Fprintf(out, "NO LEADER: last state known to voter %s\n", list.Voter)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "LEASE\tHOLDER\tTOKEN\tLEFT\tLENGTH\tIN LINE")
	for _, lease := range list.Leases {
		holder := orNone(lease.Holder.Name)
		if lease.Revoked {
			holder += " (revoked)"
		}
		remaining := seconds(lease.Remaining.Seconds())
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", lease.Name, holder, lease.Token, remaining, lease.Length, strings.Join(lease.Waiters, " "))
	}
	return table.Flush()
}

// showSubscription prints the state of the site's shared subscription at the gateway, if the gateway takes part in one.
func showSubscription(out io.Writer, s *gateway.Status) error {
	subscription := s.Subscription
	if subscription == nil {
		return nil
	}
	fmt.Fprintf(out, "subscription: %s for %s", subscription.Mode, seconds(subscription.ModeSeconds))
	if subscription.Leader != "" {
		fmt.Fprintf(out, ", last update from %s (token %d, number %d) %s ago", subscription.Leader, subscription.Token, subscription.Sequence, seconds(subscription.LastPushAge))
	}
	fmt.Fprintln(out)
	if subscription.Stale != "" {
		fmt.Fprintf(out, "STALE: %s\n", subscription.Stale)
	}
	return nil
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
