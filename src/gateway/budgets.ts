import { RetryBudget } from '../core/retries.js';
import type { GatewaySettings } from './settings.js';

const THOUSAND = 1_000;

/** Budgets for second sends by service, of which each gateway has its share. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  /** `sharers` gives the number of gateways that divide a budget. */
  public constructor(
    private readonly settings: GatewaySettings['retries'],
    private readonly sharers: () => number,
  ) {}

  /** Budget of a service, made when it is first asked for. */
  public of(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      const { perThousand, burst } = this.settings;
      budget = new RetryBudget({ ratio: perThousand / THOUSAND, burst: Math.max(1, burst / this.sharers()) });
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
