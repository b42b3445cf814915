// Package deps holds the requirements of the module until every package that uses them is in place.
package deps

import (
	// Each import keeps its module and checksums in go.mod until a package uses it.
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/gravitational/trace"
	_ "github.com/prometheus/client_model/go"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/zeromicro/go-zero/rest"
	_ "github.com/zeromicro/go-zero/rest/httpc"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "k8s.io/klog/v2"
	_ "k8s.io/utils/clock"
	_ "k8s.io/utils/clock/testing"
	_ "pgregory.net/rapid"
)
