// Package mpseed configures randomised tests with a fixed seed, so that a run can
// be reproduced. The environment variables SEED, CHECKS and STEPS override the
// defaults.
package mpseed

import (
	"flag"
	"os"
)

const (
	defaultSeed   = "1"
	defaultChecks = "60"
	defaultSteps  = "500"
)

// Fix sets the seed, the number of checks and the number of steps of the rapid
// library and turns its fail files off. The calling test must import rapid, which
// registers the flags. Fix returns the seed, so that the test can print it.
func Fix() string {
	seed := envOr("SEED", defaultSeed)
	for name, value := range map[string]string{
		"rapid.seed":       seed,
		"rapid.checks":     envOr("CHECKS", defaultChecks),
		"rapid.steps":      envOr("STEPS", defaultSteps),
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return seed
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}
