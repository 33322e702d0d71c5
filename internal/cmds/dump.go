package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rotisserie/eris"
)

const dumpTimeout = 5 * time.Second

func dumpCommand(app *kingpin.Application, ev *env) (string, func() error) {
	cmd := app.Command("dump", "Print the state of a running process as JSON.\n\nExample: wagtailwick dump --admin 127.0.0.1:9101")
	addr := cmd.Flag("admin", "Admin address of the process, host:port.").Required().String()
	metrics := cmd.Flag("metrics", "Print the metrics in text form instead.").Bool()
	return cmd.FullCommand(), func() error {
		path := "/dump"
		if *metrics {
			path = "/metrics"
		}
		body, err := fetch("http://" + *addr + path)
		if err != nil {
			return err
		}
		_, err = fmt.Fprint(ev.stdout, string(body))
		return err
	}
}

// fetch returns the body of a GET request that succeeds.
func fetch(url string) ([]byte, error) {
	cli, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dumpTimeout))
	if err != nil {
		return nil, eris.Wrap(err, "create client")
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if err := cli.DoTimeout(context.Background(), req, resp, dumpTimeout); err != nil {
		return nil, eris.Wrapf(err, "get %s", url)
	}
	if code := resp.StatusCode(); code != consts.StatusOK {
		return nil, eris.Errorf("get %s: status %d", url, code)
	}
	return append([]byte(nil), resp.Body()...), nil
}
