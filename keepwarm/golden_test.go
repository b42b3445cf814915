package keepwarm

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/internal/golden"
	"github.com/bronzestall/bronzestall/keepwarm/statisticspb"
)

// partContent is what this build reads of a stored part with one history.
type partContent struct {
	model   string
	last    int64
	history counts
	pool    ages
	week    int64
	saver   string
}

func TestPartOfOtherBuilds(t *testing.T) {
	sample := partContent{model: "planner", last: 9, history: newCounts(3), week: 2, saver: "entry-1"}
	sample.history.exposure[1], sample.history.scores[1] = 2, 3
	sample.history.cells = sample.history.cells.add(5, 1, 2)
	sample.history.ages.ends[1], sample.history.ages.risk[1] = 4, 5
	sample.pool = sample.history.ages
	golden.Format[partContent]{
		Name: "part", Sample: sample, Variants: golden.Message(&statisticspb.Part{}),
		Encode: func(sample partContent) []byte {
			history := sample.history.encode(sample.model)
			history.Last = sample.last
			content, err := proto.Marshal(&statisticspb.Part{
				Savers:    []*statisticspb.Saver{{Name: sample.saver, Sequence: 1}},
				Histories: []*statisticspb.History{history}, Pool: sample.pool.encode(), Week: sample.week,
			})
			if err != nil {
				t.Fatal(err)
			}
			return content
		},
		Decode: func(content []byte) (partContent, error) {
			part, err := decodePart(content)
			if err != nil || len(part.message.GetHistories()) == 0 || len(part.message.GetSavers()) == 0 {
				return partContent{}, err
			}
			history := part.message.GetHistories()[0]
			return partContent{
				model: history.GetModel(), last: history.GetLast(), history: decodeCounts(history), pool: decodeAges(part.message.GetPool()),
				week: part.message.GetWeek(), saver: part.message.GetSavers()[0].GetName(),
			}, nil
		},
	}.Check(t)
}
