package tierfleet

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/router/protocol"
	"ferrypitch/internal/router/service"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/plan"
)

func none(string) string { return "" }

// Plan runs planner i here until the context ends.
func (f *Fleet) Plan(ctx context.Context, tasks *errgroup.Group, i int, log *zap.Logger) error {
	path, err := f.PlannerFile(i)
	if err != nil {
		return err
	}
	o, err := setup.LoadOperator(path, none)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", o.Plan.Listen)
	if err != nil {
		return err
	}
	p := plan.New(o.Start, o.Plan, service.Life(), nil, log.Named(o.Start.Name))
	tasks.Go(func() error { return p.Run(ctx, l) })
	return nil
}

// Forward runs forwarder i here until the context ends, and says where it listens.
func (f *Fleet) Forward(ctx context.Context, tasks *errgroup.Group, i int, log *zap.Logger) (address string, err error) {
	if address, err = Free(); err != nil {
		return "", err
	}
	path, err := f.ForwarderFile(i, address)
	if err != nil {
		return "", err
	}
	o, err := setup.LoadOperator(path, none)
	if err != nil {
		return "", err
	}
	o.Start.AsForwarder()
	signals := make(chan os.Signal, 1)
	stop := context.AfterFunc(ctx, func() { signals <- os.Interrupt })
	tasks.Go(func() error {
		defer stop()
		return service.Run(o, signals, nil, log.Named(o.Start.Name))
	})
	return address, nil
}

// Ready waits until a router answers an empty query as one that serves.
func Ready(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		if ready(ctx, address) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Join(errors.New(address+" is not ready"), ctx.Err())
}

func ready(ctx context.Context, address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if _, err := conn.Write(protocol.AppendQuery(protocol.AppendStartup(nil, "svc", "main"), nil)); err != nil {
		return false
	}
	var in []byte
	b := make([]byte, 1024)
	for {
		kind, _, n, err := protocol.Next(in, 1<<16)
		if err != nil || kind == protocol.ErrorResponse && n > 0 {
			return false
		}
		if n > 0 {
			if in = in[n:]; kind == protocol.EmptyResponse {
				return true
			}
			continue
		}
		k, err := conn.Read(b)
		if err != nil {
			return false
		}
		in = append(in, b[:k]...)
	}
}
