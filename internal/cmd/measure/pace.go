package main

import (
	"fmt"
	"io"

	"github.com/bronzestall/bronzestall/internal/pacesim"
)

// measurePace prints the cases of package pacesim without and with the choice by pace.
func measurePace(out io.Writer) error {
	const row = "%-32s %-6s %8.2f %6.0f %7.0f %7.0f %7.0f %7.1f\n"
	if _, err := fmt.Fprintf(out, "%-32s %-6s %8s %6s %7s %7s %7s %7s\n", "case", "choice", "busiest", "begun", "pauses", "starts", "failed", "share/s"); err != nil {
		return err
	}
	for _, compared := range pacesim.Compare() {
		for index, result := range []pacesim.Result{compared.Today, compared.Paced} {
			choice := []string{"today", "pace"}[index]
			_, err := fmt.Fprintf(out, row, compared.Name, choice, result.Busiest, result.Begun, result.LatePauses, result.LateStarts, result.Failed, result.Carried.Seconds())
			if err != nil {
				return err
			}
		}
	}
	return nil
}
