import { RetryBudget } from '../core/retries.js';
import type { GatewaySettings } from './settings.js';

const THOUSAND = 1_000;

/** Retry budgets by service. Each gateway has its share of a budget, which follows the number of gateways. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  /** `gatewayCount` returns the number of gateways among which a budget is divided. */
  public constructor(
    private readonly settings: GatewaySettings['retries'],
    private readonly gatewayCount: () => number,
  ) {}

  /** Budget of a service; created at its first use. */
  public forService(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      const { perThousand, burst } = this.settings;
      budget = new RetryBudget({
        ratio: perThousand / THOUSAND, burst: () => Math.max(1, burst / this.gatewayCount()),
      });
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
