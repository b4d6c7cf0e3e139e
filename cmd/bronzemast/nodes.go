package main

import (
	"net/url"
	"os"
	"time"

	"github.com/bronzemast/bronzemast/internal/operators"
	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// defaultOperator is the operator address that nodes use by default.
const defaultOperator = "127.0.0.1:7070"

// nodeOptions are the flags that select the nodes a command queries.
type nodeOptions struct {
	Operators []string      `long:"operator" value-name:"IP:PORT" description:"operator address of a node; can be repeated"`
	Nodes     string        `long:"nodes" value-name:"FILE" description:"file of the form {\"nodes\": [{\"id\": \"h1\", \"operator\": \"IP:PORT\"}]}"`
	Hosts     string        `long:"hosts" value-name:"FILE" description:"host list; a node's operator address is the IP address of its peer address with --operator-port"`
	Port      uint16        `long:"operator-port" default:"7070" description:"port of the operator addresses with --hosts"`
	Wait      time.Duration `long:"wait" default:"3s" description:"time to wait for the response of a node"`
}

// list returns the selected nodes, or the node on this host if no option is given.
func (o *nodeOptions) list() ([]operators.Node, error) {
	var nodes []operators.Node
	for _, address := range o.Operators {
		if err := operators.CheckAddress(address); err != nil {
			return nil, err
		}
		nodes = append(nodes, operators.Node{Address: address})
	}
	if o.Nodes != "" {
		named, err := operators.ReadNodes(o.Nodes)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, named...)
	}
	if o.Hosts != "" {
		named, err := operators.ReadHosts(o.Hosts, o.Port)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, named...)
	}
	if len(nodes) > 0 {
		return nodes, nil
	}
	if o.Nodes != "" || o.Hosts != "" {
		return nil, errors.New("the files list no node")
	}
	return []operators.Node{{Address: defaultOperator}}, nil
}

// statusResult is the status of a node, or the error of the request.
type statusResult = operators.Result[model.NodeStatus]

// nodeName returns the host ID that a node reported, or the name it is listed
// under if it reported none.
func nodeName(r statusResult) string {
	if r.Err == nil && r.Value.Host != "" {
		return string(r.Value.Host)
	}
	return r.Node.String()
}

// serviceQuery returns the URL query that selects a service.
func serviceQuery(service string) url.Values {
	return url.Values{"service": {service}}
}

// isTerminal reports whether a file is a character device such as a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
