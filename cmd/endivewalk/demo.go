package main

import "github.com/spf13/cobra"

func newDemo(o *options) *cobra.Command { return &cobra.Command{Use: "demo"} }
