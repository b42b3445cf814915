package upstream_test

import (
	"os"
	"testing"

	"github.com/zeromicro/go-zero/core/logx"
)

func TestMain(m *testing.M) {
	logx.Disable()
	os.Exit(m.Run())
}
