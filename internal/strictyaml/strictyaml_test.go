package strictyaml

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

type part struct {
	Name string        `yaml:"Name"`
	Wait time.Duration `yaml:"Wait"`
	Size int64         `yaml:"Size" unit:"bytes"`
	Rate float64       `yaml:"Rate"`
	On   bool          `yaml:"On"`
	Many int           `yaml:"Many"`
}

type whole struct {
	Parts []part   `yaml:"Parts"`
	One   part     `yaml:"One"`
	Words []string `yaml:"Words"`
	Inner string   `yaml:"-"`
}

func TestDecodeFillsStruct(t *testing.T) {
	content := `# comment
Parts:
  - Name: "1"
    Wait: 1m30s
    Size: 1.5GiB
  - {Rate: 2.6, On: true, Many: 3}
One:
  Rate: 5
Words: [a, b]
`
	var got whole
	lines, problems := Decode([]byte(content), &got)
	if len(problems) != 0 {
		t.Fatal(problems)
	}
	want := whole{
		Parts: []part{
			{Name: "1", Wait: 90 * time.Second, Size: 3 << 29},
			{Rate: 2.6, On: true, Many: 3},
		},
		One:   part{Rate: 5},
		Words: []string{"a", "b"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for key, line := range map[string]int{"Parts[0].Size": 5, "Parts[1]": 6, "Parts[1].Name": 6, "One.Name": 7, "Other": 1} {
		if got := lines.Lookup(key); got != line {
			t.Errorf("%s is on line %d, want %d", key, got, line)
		}
	}
}

func TestDecodeReportsEveryProblem(t *testing.T) {
	for _, test := range []struct{ name, content, want string }{
		{"unknown key", "Oen: {}", "line 1: Oen: unknown key; allowed are One, Parts, Words"},
		{"hidden field", "Inner: x", "line 1: Inner: unknown key"},
		{"bare duration", "One:\n  Wait: 10", "line 2: One.Wait: must be a duration with its unit"},
		{"wrong duration", "One:\n  Wait: 10 parsecs", "line 2: One.Wait: \"10 parsecs\" is not a duration"},
		{"bare size", "One:\n  Size: 10", "line 2: One.Size: must be a size with its unit"},
		{"negative size", "One:\n  Size: -1MiB", "line 2: One.Size: \"-1MiB\" is not a size"},
		{"size that is no number", "One:\n  Size: NaNMiB", "line 2: One.Size: \"NaNMiB\" is not a size"},
		{"number for text", "One:\n  Name: 1", "line 2: One.Name: must be text"},
		{"text for number", "One: {Many: x}", "line 1: One.Many: must be a whole number"},
		{"fraction for whole number", "One: {Many: 1.5}", "line 1: One.Many: must be a whole number"},
		{"text for rate", "One: {Rate: x}", "line 1: One.Rate: must be a number"},
		{"text for boolean", "One: {On: x}", "line 1: One.On: must be true or false"},
		{"list for mapping", "One: []", "line 1: One: must be a mapping"},
		{"mapping for list", "Parts: {}", "line 1: Parts: must be a list"},
		{"no value", "One:\n  Name:", "line 2: One.Name: has no value"},
		{"double key", "One: {}\nOne: {}", "line 2: mapping key \"One\" already defined"},
		{"syntax", "One: [", "line 1: "},
		{"empty", "", "line 1: the file must hold exactly one document"},
		{"two documents", "One: {}\n---\nOne: {}", "line 1: the file must hold exactly one document"},
		{"alias", "One: &a {}\nParts: [*a]", "line 1: One: must be a mapping"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var into whole
			_, problems := Decode([]byte(test.content), &into)
			if len(problems) == 0 || !strings.HasPrefix(problems[0].String(), test.want) {
				t.Errorf("got %v, want %s", problems, test.want)
			}
		})
	}
	var into whole
	_, problems := Decode([]byte("One:\n  Many: x\n  Wait: 1\n  Nmae: y"), &into)
	if len(problems) != 3 {
		t.Errorf("got %v, want all three problems", problems)
	}
}

func TestSizeRoundTrip(t *testing.T) {
	for _, bytes := range []int64{0, 1, 1023, 1024, 3 << 29, 8 << 20, 80 << 30, 2 << 40} {
		if got, err := ParseSize(FormatSize(bytes)); err != nil || got != bytes {
			t.Errorf("%d became %s and %d, %v", bytes, FormatSize(bytes), got, err)
		}
	}
}
