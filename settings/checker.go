package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// namePattern matches the valid names of VMs, data centres, tenants and classes.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker collects the problems of decoded settings.
type checker struct {
	lines    strictyaml.Lines
	problems []strictyaml.Problem
}

// addProblem records a problem with the line of the key.
func (checker *checker) addProblem(key, format string, args ...any) {
	problem := checker.lines.Problem(key, fmt.Sprintf(format, args...))
	checker.problems = append(checker.problems, problem)
}

// name reports an empty or malformed name.
func (checker *checker) name(key, name string) {
	if !namePattern.MatchString(name) {
		checker.addProblem(key, "%q is not a name; allowed are 1 to 63 letters, digits, dots, dashes and underscores", name)
	}
}

// unique reports each value that occurs earlier in the list. Empty values are not compared.
func (checker *checker) unique(list, field string, values []string) {
	first := map[string]int{}
	for i, value := range values {
		key := fmt.Sprintf("%s[%d].%s", list, i, field)
		if other, ok := first[value]; ok && value != "" {
			checker.addProblem(key, "%q is already listed on line %d", value, checker.lines.Lookup(fmt.Sprintf("%s[%d].%s", list, other, field)))
			continue
		}
		first[value] = i
	}
}

// address reports a text that is not an IP address and port. Only the address of a listener may be unspecified, such as 0.0.0.0.
func (checker *checker) address(key, address string, isListener bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		checker.addProblem(key, "%q is not an IP address and port; write one such as 10.0.0.1:8080 or [fd00::1]:8080", address)
		return
	}
	if parsed.Addr().IsUnspecified() && !isListener {
		checker.addProblem(key, "%q cannot be connected to; write the address of a machine", address)
	}
}

// checkRange reports a value below minimum or above maximum.
func checkRange[T cmp.Ordered](checker *checker, key string, value, minimum, maximum T) {
	if value < minimum || value > maximum {
		checker.addProblem(key, "%v is out of range; allowed is %v to %v", value, minimum, maximum)
	}
}

// duration reports a duration below minimum or above maximum.
func (checker *checker) duration(key string, value, minimum, maximum time.Duration) {
	checkRange(checker, key, value, minimum, maximum)
}
