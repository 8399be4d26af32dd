import { z } from 'zod';

/** Difference between two files, as the pieces of the new one: an index of a section of the base file, or new text. */
export const sectionsSchema = z.array(z.union([z.number().int().nonnegative(), z.string()]));

/** See {@link sectionsSchema}. */
export type Sections = z.infer<typeof sectionsSchema>;

/** Splits an INI file before each section header; the joined parts give the same text. */
export function splitSections(file: string): string[] {
  return file.split(/^(?=[ \t]*\[)/mu);
}

/** Computes the difference of `file` from `base`: sections that both contain are given by their index in `base`. */
export function diffSections(base: string, file: string): Sections {
  const positions = new Map(splitSections(base).map((section, index) => [section, index]));
  return splitSections(file).map((section) => positions.get(section) ?? section);
}

/** Rebuilds a file from `base` and the difference; `null` when `base` has no section of a given index. */
export function joinSections(base: string, sections: Sections): string | null {
  const parts = splitSections(base);
  const joined = sections.map((section) => (typeof section === 'string' ? section : parts[section]));
  return joined.every((part) => part !== undefined) ? joined.join('') : null;
}
