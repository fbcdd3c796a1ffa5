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
		Short: "Ask a running gateway or witness about its fleet",
		Args:  noArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.PersistentFlags().StringVarP(&addr, "admin", "a", "127.0.0.1:9901", "the process's admin `address`")
	c.AddCommand(fleetStatusCommand(&addr), fleetMembersCommand(&addr), fleetLeasesCommand(&addr), fleetRevokeCommand(&addr))
	return c
}

// The commands below get the admin address by pointer, as its flag is parsed after they are made.

func fleetStatusCommand(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "How this process stands in its fleet",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var status fleet.Status
			if err := ask(c, http.MethodGet, *addr, "/fleet", &status); err != nil {
				return err
			}
			return showFleet(c.OutOrStdout(), &status)
		},
	}
}

func fleetMembersCommand(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "members",
		Short: "Who is in the fleet, as this process sees it",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var status fleet.Status
			if err := ask(c, http.MethodGet, *addr, "/fleet", &status); err != nil {
				return err
			}
			return showMembers(c.OutOrStdout(), &status)
		},
	}
}

func fleetLeasesCommand(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "leases",
		Short: "Which duties are held, by whom, with which token",
		Args:  noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var leases quorum.LeaseList
			if err := ask(c, http.MethodGet, *addr, "/fleet/leases", &leases); err != nil {
				return err
			}
			return showLeases(c.OutOrStdout(), &leases)
		},
	}
}

func fleetRevokeCommand(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "revoke LEASE",
		Short: "Have a lease end with the length that its holder was granted last",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lease := args[0]
			if err := ask(c, http.MethodPost, *addr, "/fleet/revoke?lease="+url.QueryEscape(lease), io.Discard); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is not renewed any more\n", lease)
			return nil
		},
	}
}
