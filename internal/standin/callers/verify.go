package callers

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"
)

// verifyCalls compares the results of the calls with the executions that the services counted.
func (c *Callers) verifyCalls(ctx context.Context) error {
	ran := map[string]int{}
	for _, service := range c.settings.Services {
		if err := c.addCounts(ctx, service, ran); err != nil {
			return trace.Wrap(err)
		}
	}
	judgement := &c.report.Judgement
	for key, end := range c.calls {
		runs := ran[key]
		if runs > 1 {
			judgement.RanTwice++
		}
		if runs == 0 && end.result == answered {
			judgement.AnsweredWithoutRun++
		}
		if runs > 0 && end.allNotRun {
			judgement.FalseNotRun++
		}
	}
	return nil
}

func (c *Callers) addCounts(ctx context.Context, service string, ran map[string]int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+service+"/counts", nil)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var counts struct{ Keys map[string]int }
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return err
	}
	for key, executions := range counts.Keys {
		ran[key] += executions
	}
	return nil
}
