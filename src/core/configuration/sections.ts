import { z } from 'zod';

/** New file as pieces: an index into the sections of the base file, or new text. */
export const sectionsSchema = z.array(z.union([z.number().int().nonnegative(), z.string()]));

export type Sections = z.infer<typeof sectionsSchema>;

/** Cuts an INI file before each section header; joined, the parts give the same text. */
export function splitSections(file: string): string[] {
  return file.split(/^(?=[ \t]*\[)/mu);
}

/** Describes `file` by the sections that it shares with `base`. */
export function diffSections(base: string, file: string): Sections {
  const positions = new Map(splitSections(base).map((section, index) => [section, index]));
  return splitSections(file).map((section) => positions.get(section) ?? section);
}

/** Rebuilds a file from its base; `null` when an index lies outside the base. */
export function joinSections(base: string, sections: Sections): string | null {
  const parts = splitSections(base);
  const joined = sections.map((section) => (typeof section === 'string' ? section : parts[section]));
  return joined.every((part) => part !== undefined) ? joined.join('') : null;
}
