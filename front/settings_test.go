package front

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// renderTemplate returns the deployed template of the settings file with its fields filled in as the platform
// does.
func renderTemplate(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile("../deploy/front.yaml")
	if err != nil {
		t.Fatal(err)
	}
	// Deployments without accounts lack these fields, and so the sections that are filled in by them.
	content = regexp.MustCompile(`(?s){{#bounds.strictRevoke}}.*{{/bounds.strictRevoke}}|{{#bounds.quotaWindowS}}.*{{/bounds.quotaWindowS}}`).ReplaceAll(content, nil)
	text := strings.NewReplacer(
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, `"10.1.0.38:8144","10.2.0.40:8144"`,
		"{{node}}", "front-1", "{{zone}}", "fukuoka", "{{ip}}", "10.1.0.38", "{{internalPorts.0}}", "7380",
		"{{listen.front}}", "10.1.0.38:8149", "{{listen.ready}}", "10.1.0.38:8141", "{{listen.control}}", "10.1.0.38:8144",
		"{{platform.address}}", "10.200.1.7:8142", "{{limits.memoryMb}}", "414", "{{limits.cores}}", "1",
		"{{bounds.graceS}}", "8", "{{bounds.leaseMs}}", "3000", "{{bounds.retryBudgetRatio}}", "0.2",
		"{{bounds.budgetSlack}}", "54", "{{bounds.budgetWindowS}}", "10", "{{bounds.ceilingWindowS}}", "5",
	).Replace(string(content))
	if unresolved := regexp.MustCompile(`{{.*?}}`).FindString(text); unresolved != "" {
		t.Fatalf("the template has an unknown field: %s", unresolved)
	}
	return text
}

func TestTemplateYieldsValidSettings(t *testing.T) {
	settings, err := Parse("front.yaml", []byte(renderTemplate(t)))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Turnover != 3*time.Second || settings.MemoryLimit != 414<<20 || len(settings.Seeds) != 2 || settings.MetricsAddress != "10.1.0.38:7380" {
		t.Errorf("unexpected settings %+v", settings)
	}
}

// TestTemplateOfADeploymentWithAccounts covers the sections of the template that only deployments with accounts fill in.
func TestTemplateOfADeploymentWithAccounts(t *testing.T) {
	content, err := os.ReadFile("../deploy/front.yaml")
	if err != nil {
		t.Fatal(err)
	}
	sections := strings.NewReplacer(
		"{{#bounds.strictRevoke}}", "", "{{/bounds.strictRevoke}}", "", "{{#bounds.quotaWindowS}}", "", "{{/bounds.quotaWindowS}}", "",
		"{{bounds.revokeMs}}", "5000", "{{bounds.quotaWindowS}}", "8", "{{bounds.quotaOver}}", "0.1", "{{bounds.quotaSlack}}", "11000",
	).Replace(string(content[strings.Index(string(content), "{{#bounds.strictRevoke}}"):]))
	settings, err := Parse("front.yaml", []byte(renderTemplate(t)+sections))
	if err != nil {
		t.Fatal(err)
	}
	if settings.KeyRevocation != 5*time.Second || settings.QuotaWindow != 8*time.Second || settings.QuotaExcess != 0.1 || settings.QuotaSlack != 11000 {
		t.Errorf("unexpected settings %+v", settings)
	}
}

// TestSettingsOfALaterBuildStartADaemon guards against issue 48: a daemon that was started with the settings of a later build refused
// to start. The check of a settings file still lists unknown keys.
func TestSettingsOfALaterBuildStartADaemon(t *testing.T) {
	later := renderTemplate(t) + "Later: {Size: 3, List: [a]}\n"
	settings, err := parseOpen("front.yaml", []byte(later))
	if err != nil || settings.Turnover != 3*time.Second || len(settings.Seeds) != 2 {
		t.Errorf("settings %+v, %v", settings, err)
	}
	if _, err := Parse("front.yaml", []byte(later)); err == nil || !strings.Contains(err.Error(), "Later") {
		t.Errorf("the check of the file ends with %v", err)
	}
	if _, err := parseOpen("front.yaml", []byte(strings.Replace(later, "Name:", "Names:", 1))); err == nil {
		t.Error("settings without a name are accepted")
	}
}

// TestTemplateHasKeysOfTheLastLanding keeps keys out of the template that the build of the last landing does not know. It is started
// with the template of this build when VMs go back, and the builds up to f035bfb refuse unknown keys.
func TestTemplateHasKeysOfTheLastLanding(t *testing.T) {
	content, err := os.ReadFile("testdata/settings-f035bfb.yaml")
	if err != nil {
		t.Fatal(err)
	}
	keys := regexp.MustCompile(`(?m)^\w+:`)
	known := keys.FindAllString(string(content), -1)
	for _, key := range keys.FindAllString(renderTemplate(t), -1) {
		if !slices.Contains(known, key) {
			t.Errorf("the template has the key %s which the build of the last landing does not know", key)
		}
	}
	if settings, err := Parse("settings-f035bfb.yaml", content); err != nil || settings.LoadWindow != 5*time.Second {
		t.Errorf("settings of the last landing: %+v, %v", settings, err)
	}
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, change := range [][2]string{
		{"10.1.0.38:8149", "somewhere:8149"},
		{"414MiB", "414"},
		{"414MiB", "1MiB"},
		{"Cores: 1", "Cores: 0"},
		{"Grace: 8s", "Grace: 0s"},
		{"RetryShare: 0.2", "RetryShare: 2"},
		{"RetryShare: 0.2", "RetryShare: .nan"},
		{"RetrySlack: 54", "RetrySlack: -1"},
		{"RetrySlack: 54", "RetrySlack: .inf"},
		{"LoadWindow: 5s", "LoadWindow: -5s"},
		{"LoadWindow: 5s", "LoadWindow: 5s\nLoadsAtOnce: -1"},
		{"LoadWindow: 5s", "LoadWindow: 5s\nHeldBytes: 1MiB"},
		{"LoadWindow: 5s", "LoadWindow: 5s\nBodyProgress: -1s"},
		{"LoadWindow: 5s", "LoadWindow: 5s\nDescriptorLimit: 10"},
		{"LoadWindow: 5s", "LoadWindow: 5s\nResponseProgress: 1h"},
		{"10.1.0.38:7380", "somewhere:7380"},
		{"10.2.0.40:8144", "10.2.0.40"},
		{"Seeds:", "Seed:"},
		{`Name: "front-1"`, `Name: ""`},
	} {
		text := strings.Replace(renderTemplate(t), change[0], change[1], 1)
		if _, err := Parse("front.yaml", []byte(text)); err == nil {
			t.Errorf("settings with %q in place of %q are accepted", change[1], change[0])
		}
	}
}
