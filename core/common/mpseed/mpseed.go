// Package mpseed fixes the seeds of randomised tests, so that a run can be
// repeated: SEED, CHECKS and STEPS in the environment replace the defaults.
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

// Fix sets the seed and the number of cases of the rapid library, whose flags
// the importing test has registered. It returns the seed, for printing.
func Fix() string {
	seed := fromEnv("SEED", defaultSeed)
	for name, value := range map[string]string{
		"rapid.seed":       seed,
		"rapid.checks":     fromEnv("CHECKS", defaultChecks),
		"rapid.steps":      fromEnv("STEPS", defaultSteps),
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return seed
}

func fromEnv(name, otherwise string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return otherwise
}
