package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
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
	metrics := cmd.Flag("metrics", "Print the metrics in the Prometheus text format instead.").Bool()
	part := cmd.Flag("part", "Print only the state of this component, such as config.").String()
	return cmd.FullCommand(), func() error {
		path := "/dump"
		if *metrics {
			path = "/metrics"
		}
		body, err := fetch("http://" + *addr + path)
		if err != nil {
			return err
		}
		if *part != "" && !*metrics {
			if body, err = selectPart(body, *part); err != nil {
				return err
			}
		}
		_, err = fmt.Fprint(ev.stdout, string(body))
		return err
	}
}

// selectPart returns the state of one component from a state dump.
func selectPart(body []byte, part string) ([]byte, error) {
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(body, &parts); err != nil {
		return nil, eris.Wrap(err, "decode state")
	}
	raw, ok := parts[part]
	if !ok {
		return nil, eris.Errorf("no part %q, there are %v", part, slices.Sorted(maps.Keys(parts)))
	}
	return append(raw, '\n'), nil
}

// fetch returns the body of the answer to a GET request. Any status but 200 is an error.
func fetch(url string) ([]byte, error) { return call(consts.MethodGet, url, nil) }

// post returns the body of the answer to a POST request with a JSON body. Any status but 200
// is an error.
func post(url string, body []byte) ([]byte, error) { return call(consts.MethodPost, url, body) }

func call(method, url string, body []byte) ([]byte, error) {
	cli, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dumpTimeout))
	if err != nil {
		return nil, eris.Wrap(err, "create client")
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.SetMethod(method)
	if body != nil {
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(body)
	}
	if err := cli.DoTimeout(context.Background(), req, resp, dumpTimeout); err != nil {
		return nil, eris.Wrapf(err, "%s %s", strings.ToLower(method), url)
	}
	if code := resp.StatusCode(); code != consts.StatusOK {
		return nil, eris.Errorf("%s %s: status %d: %s", strings.ToLower(method), url, code, bytes.TrimSpace(resp.Body()))
	}
	return append([]byte(nil), resp.Body()...), nil
}
