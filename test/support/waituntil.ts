import { expect } from 'vitest';

/** Waits until a condition holds; fails the test after about 4 s. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 400; tries += 1) {
    if (await condition()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  expect(await condition()).toBe(true);
}
