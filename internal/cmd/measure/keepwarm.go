package main

import (
	"flag"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/internal/arrivals"
	"github.com/bronzestall/bronzestall/internal/replay"
	"github.com/bronzestall/bronzestall/keepwarm"
)

// tailQuantile is the quantile of the waiting times that the reports call the tail.
const tailQuantile = 0.99

var (
	deployments = []deployment{
		{arrivals.Yamabuki, keepwarm.Costs{ColdStart: 1, IdleHour: 4}},
		{arrivals.Calabaza, keepwarm.Costs{ColdStart: 5, IdleHour: 4}},
		{arrivals.Memoryless, keepwarm.Costs{ColdStart: 1, IdleHour: 4}},
	}
	timeouts = []time.Duration{time.Minute, 10 * time.Minute, time.Hour, 4 * time.Hour, 12 * time.Hour, 24 * time.Hour}
	// idleCosts are the costs of an idle hour in the sweep, in seconds of cold start.
	idleCosts = []float64{0.25, 1, 2, 3, 4, 8, 16, 32, 100}
)

func measureKeepWarm(args []string, to io.Writer) error {
	flags := flag.NewFlagSet("keepwarm", flag.ContinueOnError)
	seedList := flags.String("seeds", "101,102,103,104,105", "seeds of the workloads")
	days := flags.Int("days", 14, "days of each workload")
	learn := flags.Int("learn", 7, "days before the measured ones")
	if err := flags.Parse(args); err != nil {
		return err
	}
	seeds, err := parseSeeds(*seedList)
	if err != nil {
		return err
	}
	for _, deployment := range deployments {
		study := newStudy(deployment, seeds, *days, *learn)
		fmt.Fprintf(to, "\n## %s\n", study.workloads[0].Name)
		writePolicies(to, study, deployment)
		writeSeeds(to, study, seeds, deployment.costs)
		writeSweep(to, study)
	}
	return nil
}

func parseSeeds(list string) ([]uint64, error) {
	var seeds []uint64
	for _, field := range strings.Split(list, ",") {
		seed, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// writePolicies writes a table with one row for each policy.
func writePolicies(to io.Writer, study study, deployment deployment) {
	fmt.Fprint(to, "\n| policy | p50 | p99 | mean | cold | p50 of cold | p99 of cold | idle h/day | loads/day |\n")
	fmt.Fprint(to, "|---|---|---|---|---|---|---|---|---|\n")
	writePolicy(to, "never", study, study.run(func() keepwarm.Policy { return keepwarm.Never{} }))
	for _, timeout := range timeouts {
		writePolicy(to, "fixed "+timeout.String(), study, study.run(fixed(timeout)))
	}
	writePolicy(to, "always", study, study.run(func() keepwarm.Policy { return keepwarm.Always{} }))
	name := fmt.Sprintf("learnt, weights %v and %v", deployment.costs.ColdStart, deployment.costs.IdleHour)
	writePolicy(to, name, study, study.run(predictive(deployment.costs)))
}

func writePolicy(to io.Writer, name string, study study, result replay.Result) {
	cold := result.ColdStarts()
	share := 100 * float64(len(cold)) / float64(len(result.Waits))
	days := study.measuredDays()
	fmt.Fprintf(to, "| %s | %s | %s | %s | %.2f%% | %s | %s | %.1f | %.1f |\n", name,
		seconds(replay.Quantile(result.Waits, 0.5)), seconds(replay.Quantile(result.Waits, tailQuantile)),
		seconds(result.Mean()), share, seconds(replay.Quantile(cold, 0.5)), seconds(replay.Quantile(cold, tailQuantile)),
		result.Idle.Hours()/days, float64(result.Loads)/days)
}

// comparisonHeader is the header of a table that compares the policy with fixed timeouts.
const comparisonHeader = "| p99 | mean | idle h/day | fixed, same hours | its p99 | its mean | p99 ratio | fixed, same p99 | its idle h/day | hours ratio |\n"

// writeSeeds writes a table that compares the policy with fixed timeouts for each seed.
func writeSeeds(to io.Writer, study study, seeds []uint64, costs keepwarm.Costs) {
	fmt.Fprint(to, "\n| seed "+comparisonHeader+"|---|---|---|---|---|---|---|---|---|---|---|\n")
	for index, seed := range seeds {
		seedStudy := study.single(index)
		writeComparison(to, strconv.FormatUint(seed, 10), seedStudy, seedStudy.run(predictive(costs)))
	}
}

// writeSweep writes a table that compares the policy with fixed timeouts for several costs of an idle hour.
func writeSweep(to io.Writer, study study) {
	fmt.Fprint(to, "\n| idle hour in cold seconds "+comparisonHeader+"|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, cost := range idleCosts {
		result := study.run(predictive(keepwarm.Costs{ColdStart: 1, IdleHour: cost}))
		writeComparison(to, fmt.Sprint(cost), study, result)
	}
}

func writeComparison(to io.Writer, name string, study study, result replay.Result) {
	days := study.measuredDays()
	tail := replay.Quantile(result.Waits, tailQuantile)
	fmt.Fprintf(to, "| %s | %s | %s | %.1f ", name, seconds(tail), seconds(result.Mean()), result.Idle.Hours()/days)
	if hours, ok := study.matchIdleTime(result); ok {
		other := replay.Quantile(hours.result.Waits, tailQuantile)
		fmt.Fprintf(to, "| %s | %s | %s | %s ", hours.timeout.Round(time.Second), seconds(other), seconds(hours.result.Mean()), ratio(tail.Seconds(), other.Seconds()))
	} else {
		fmt.Fprint(to, "| none | - | - | - ")
	}
	if same, ok := study.matchTail(result); ok {
		hours := same.result.Idle.Hours() / days
		fmt.Fprintf(to, "| %s | %.1f | %s |\n", same.timeout.Round(time.Second), hours, ratio(result.Idle.Hours()/days, hours))
	} else {
		fmt.Fprint(to, "| none | - | - |\n")
	}
}

func ratio(ours, other float64) string {
	if other == 0 {
		return "both 0"
	}
	return fmt.Sprintf("%.2f", ours/other)
}

func seconds(duration time.Duration) string {
	return fmt.Sprintf("%.2f s", duration.Seconds())
}

func geometricMean(a, b float64) float64 {
	return math.Sqrt(a * b)
}
