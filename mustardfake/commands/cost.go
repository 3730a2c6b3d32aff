package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpsettings"
	"mustardpost.org/mustardfake/internal/mpsample"
)

func cost() *cli.Command {
	return &cli.Command{
		Name:  "cost",
		Usage: "sum the stage costs that the VMs of a sample report",
		Flags: []cli.Flag{&cli.StringFlag{Name: "dir", Required: true, Usage: "`FOLDER` of the sample"}},
		Action: func(c *cli.Context) error {
			files, err := filepath.Glob(filepath.Join(c.String("dir"), "vm*.json"))
			if err != nil {
				return mperror.Wrap(err, "list settings files of the sample")
			}
			sum := map[string]float64{}
			for _, file := range files {
				s, err := mpsettings.Read(file)
				if err != nil {
					return err
				}
				// A VM that is down reports no metrics and is skipped.
				_ = addMetrics(c.Context, s.OperatorAddress, sum)
			}
			return printCost(c, sum)
		},
	}
}

func addMetrics(ctx context.Context, address string, sum map[string]float64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+mpsample.OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		Mustardpost map[string]any `json:"mustardpost"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return err
	}
	for k, v := range vars.Mustardpost {
		if n, ok := v.(float64); ok {
			sum[k] += n
		}
	}
	return nil
}

func printCost(c *cli.Context, sum map[string]float64) error {
	ratio := func(a, b string) float64 { return sum[a] / max(sum[b], 1) }
	var means []string
	for _, kind := range []string{"encode", "retrieve", "rerank", "generate", "plain"} {
		key := "stage." + kind
		if sum[key+".count"] > 0 {
			means = append(means, fmt.Sprintf("%s %.1f ms", kind, ratio(key+".us", key+".count")/1000))
		}
	}
	_, err := fmt.Fprintf(c.App.Writer,
		"cost: %.3f attempts a stage; %.0f retries, %.0f hedges; %.0f tokens prefilled, %.0f cached; "+
			"%.0f bytes over links, priced %.0f; mean stage %s; claim %.1f ms\n",
		ratio("attempt.count", "stage.count"), sum["retry.count"], sum["hedge.count"],
		sum["tokens.prefilled"], sum["tokens.cached"], sum["link.bytes"], sum["link.cost"],
		strings.Join(means, ", "), ratio("claim.us", "claim.count")/1000)
	return err
}
