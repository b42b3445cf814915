package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// namePattern is what names of VMs, data centres, tenants and classes look like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker collects what is wrong with decoded settings.
type checker struct {
	lines    strictyaml.Lines
	problems []strictyaml.Problem
}

func (checker *checker) refuse(key, format string, args ...any) {
	problem := checker.lines.Problem(key, fmt.Sprintf(format, args...))
	checker.problems = append(checker.problems, problem)
}

// name refuses an empty or malformed name.
func (checker *checker) name(key, name string) {
	if !namePattern.MatchString(name) {
		checker.refuse(key, "%q is not a name; allowed are 1 to 63 letters, digits, dots, dashes and underscores", name)
	}
}

// unique refuses names that stand twice in the list.
func (checker *checker) unique(list, field string, names []string) {
	first := map[string]int{}
	for i, name := range names {
		key := fmt.Sprintf("%s[%d].%s", list, i, field)
		if other, ok := first[name]; ok && name != "" {
			checker.refuse(key, "%q stands already on line %d", name, checker.lines.Lookup(fmt.Sprintf("%s[%d].%s", list, other, field)))
			continue
		}
		first[name] = i
	}
}

// address refuses what is not an IP address and port. A listening address may be unspecified, such as 0.0.0.0.
func (checker *checker) address(key, address string, listens bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		checker.refuse(key, "%q is not an IP address and port; write one such as 10.0.0.1:8080 or [fd00::1]:8080", address)
		return
	}
	if parsed.Addr().IsUnspecified() && !listens {
		checker.refuse(key, "%q cannot be connected to; write the address of a machine", address)
	}
}

// between refuses a value outside its bounds. Both bounds are allowed.
func between[T cmp.Ordered](checker *checker, key string, value, least, most T) {
	if value < least || value > most {
		checker.refuse(key, "%v is out of range; allowed is %v to %v", value, least, most)
	}
}

// duration refuses a duration outside its bounds. Both bounds are allowed.
func (checker *checker) duration(key string, value, least, most time.Duration) {
	between(checker, key, value, least, most)
}
