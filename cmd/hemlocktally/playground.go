package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"hemlocktally/experimenter"
)

func playgroundCommand() *cli.Command {
	return &cli.Command{
		Name:  "playground",
		Usage: "run a fleet on loopback until Ctrl-C, to try ask, tell and shell on",
		Description: "Prints each instance's addresses and the operators' key, then sends a light load of stand-in callers.\n" +
			"Examples:\n  hemlocktally playground\n  hemlocktally playground --deployment agency --instances 4 --load 0.2",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "agency or association", Value: "association"},
			&cli.IntFlag{Name: "instances", Usage: "how many entry instances run, 1 to 64", Value: 16},
			&cli.FloatFlag{Name: "load", Usage: "a factor on the demo's load; 0 sends none", Value: 0.3},
			&cli.IntFlag{Name: "seed", Usage: "the seed of load and targets", Value: 1},
		},
		Action: playground,
	}
}

const maxPlaygroundInstances = 64

func playground(ctx context.Context, c *cli.Command) error {
	scene, err := playgroundScene(c)
	if err != nil {
		return err
	}
	fleet, err := experimenter.Start(ctx, scene.deployment)
	if err != nil {
		return err
	}
	w := c.Root().Writer
	for _, daemon := range fleet.Daemons {
		self := daemon.Self()
		_, _ = fmt.Fprintf(w, "%s %s callers=%s operators=%s\n", self.ID, self.Zone, self.CallerAddress, self.OperatorAddress)
	}
	_, _ = fmt.Fprintf(w, "ready: export %s=%s HEMLOCKTALLY_AT=%s\n", operatorEnv, experimenter.OperatorKey, fleet.Daemons[0].Self().OperatorAddress)
	var counters experimenter.LoadCounters
	experimenter.Load(ctx, fleet, scene.streams, scene.deployment.Seed, &counters)
	<-ctx.Done()
	_, _ = fmt.Fprintf(w, "sent %d, done %d, refused %d, broken %d, wrong %d, work doubled %d\n", counters.Sent.Load(), counters.Done.Load(),
		counters.Refused.Load(), counters.Broken.Load(), counters.Wrong.Load(), fleet.Doubled())
	return fleet.Stop()
}

func playgroundScene(c *cli.Command) (demoScene, error) {
	instances := c.Int("instances")
	if instances < 1 || instances > maxPlaygroundInstances {
		return demoScene{}, &usageError{errs.New("--instances: found %d, allowed: 1 to %d", instances, maxPlaygroundInstances)}
	}
	for _, scene := range demoScenes() {
		if scene.deployment.Name != c.String("deployment") {
			continue
		}
		scene.deployment.Instances = instances
		scene.deployment.Seed = uint64(c.Int("seed"))
		var streams []experimenter.Stream
		for _, stream := range scene.streams {
			stream.Rate *= c.Float("load")
			if stream.Rate > 0 {
				streams = append(streams, stream)
			}
		}
		scene.streams = streams
		return scene, nil
	}
	return demoScene{}, &usageError{errs.New("--deployment: found %q, allowed: agency, association", c.String("deployment"))}
}
