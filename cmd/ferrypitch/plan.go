package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"ferrypitch/internal/router/service"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/plan"
	"ferrypitch/internal/router/trace/file"
	"ferrypitch/internal/router/trace/record"
)

func planCommand() *cobra.Command {
	return &cobra.Command{Use: "plan FILE", Short: "Make views and hand them to forwarders", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			o, err := setup.LoadOperator(args[0], os.Getenv)
			if err != nil {
				return err
			}
			switch {
			case o.Plan == nil:
				return fmt.Errorf("%s: plan: missing", args[0])
			case o.Start.Discovery == "":
				return fmt.Errorf("%s: discovery: missing", args[0])
			}
			return planning(o)
		}}
}

// planning is a planner from its listener to the signal that ends it.
func planning(o *setup.Operator) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGHUP)
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	log = log.Named(o.Start.Name)
	runtime.GOMAXPROCS(o.Start.Limits.Cores)
	debug.SetMemoryLimit(o.Start.Limits.Memory)
	listener, err := net.Listen("tcp", o.Plan.Listen)
	if err != nil {
		log.Error("ended", zap.Error(fmt.Errorf("plan.listen: %w", err)))
		return status(failed)
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	var recorder *record.Planner
	var writer *file.Writer
	last, finish := context.WithCancel(context.Background()) // capture outlives what it captures
	defer finish()
	written := make(chan error, 1)
	if o.Trace != nil {
		if writer, err = service.NewTraceWriter(o.Start, o.Trace, log); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		recorder = record.NewPlanner(writer, o.Trace.Block)
		go func() { written <- writer.Run(last) }()
	}
	p := plan.New(o.Start, o.Plan, service.Life(), recorder, log)
	ran := make(chan error, 1)
	go func() { ran <- p.Run(ctx, listener) }()
	log.Info("started", zap.Stringer("listen", listener.Addr()))
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				log.Info("counts", counts(p, writer)...)
				continue
			}
			log.Info("stopping", zap.String("signal", s.String()))
			end()
		case err := <-ran:
			if finish(); writer != nil {
				<-written
			}
			log.Info("counts", counts(p, writer)...)
			if err != nil && ctx.Err() == nil {
				log.Error("ended", zap.Error(err))
				return status(failed)
			}
			return nil
		}
	}
}

func counts(p *plan.Plan, w *file.Writer) []zap.Field {
	fields := p.Fields()
	if w != nil {
		fields = append(fields, w.Fields()...)
	}
	return fields
}
