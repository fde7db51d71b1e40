package tierfleet

import (
	"context"
	"net"
	"os"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ferrypitch/internal/router/service"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/plannerserver"
)

// noEnvironment is an empty environment, so that only the files configure the programs.
func noEnvironment(string) string { return "" }

// Plan runs a planner, selected by number, in tasks until ctx ends.
func (f *Fleet) Plan(ctx context.Context, tasks *errgroup.Group, planner int, log *zap.Logger) error {
	path, err := f.PlannerFile(planner)
	if err != nil {
		return err
	}
	operator, err := setup.LoadOperator(path, noEnvironment)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", operator.Plan.Listen)
	if err != nil {
		return err
	}
	p := plannerserver.New(operator.Start, operator.Plan, service.NewIncarnation(), nil, log.Named(operator.Start.Name))
	tasks.Go(func() error { return p.Run(ctx, listener) })
	return nil
}

// Forward runs a forwarder, selected by number, in tasks until ctx ends, and returns its address.
func (f *Fleet) Forward(ctx context.Context, tasks *errgroup.Group, forwarder int, log *zap.Logger) (address string, err error) {
	if address, err = FreeAddress(); err != nil {
		return "", err
	}
	path, err := f.ForwarderFile(forwarder, address)
	if err != nil {
		return "", err
	}
	operator, err := setup.LoadOperator(path, noEnvironment)
	if err != nil {
		return "", err
	}
	operator.Start.ConfigureAsForwarder()
	signals := make(chan os.Signal, 1)
	stop := context.AfterFunc(ctx, func() { signals <- os.Interrupt })
	tasks.Go(func() error {
		defer stop()
		return service.Run(operator, signals, nil, log.Named(operator.Start.Name))
	})
	return address, nil
}
