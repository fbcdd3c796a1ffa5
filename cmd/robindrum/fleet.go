package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"robindrum/internal/fleet"
	"robindrum/internal/quorum"
)

func fleetCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Inspect the fleet through a running gateway or witness",
		Args:  noArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.PersistentFlags().StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "admin `address` of the gateway or witness")
	c.AddCommand(fleetStatusCommand(&addr), fleetMembersCommand(&addr), fleetLeasesCommand(&addr), fleetRevokeCommand(&addr))
	return c
}

// The functions below take the admin address by pointer, because its flag is parsed after they have returned their commands.

func fleetStatusCommand(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Print the state of this process in its fleet",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var status fleet.Status
			if err := callAdmin(c, http.MethodGet, *addr, "/fleet", &status); err != nil {
				return err
			}
			return showFleet(c.OutOrStdout(), &status)
		},
	}
}

func fleetMembersCommand(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "members",
		Short: "Print the members of the fleet, as this process sees them",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var status fleet.Status
			if err := callAdmin(c, http.MethodGet, *addr, "/fleet", &status); err != nil {
				return err
			}
			return showMembers(c.OutOrStdout(), &status)
		},
	}
}

func fleetLeasesCommand(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "leases",
		Short: "Print the leases with their holders and fencing tokens",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var leases quorum.LeaseList
			if err := callAdmin(c, http.MethodGet, *addr, "/fleet/leases", &leases); err != nil {
				return err
			}
			return showLeases(c.OutOrStdout(), &leases)
		},
	}
}

func fleetRevokeCommand(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "revoke LEASE",
		Short: "Stop the renewal of a lease, which ends when its latest grant expires",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lease := args[0]
			if err := callAdmin(c, http.MethodPost, *addr, "/fleet/revoke?lease="+url.QueryEscape(lease), io.Discard); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s will no longer be renewed\n", lease)
			return nil
		},
	}
}
