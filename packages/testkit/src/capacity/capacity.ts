/**
 * The capacity page: tables in Markdown, worked out from the slopes on record (slopes/) and the target size. Read
 * `capacityFigures` for the arithmetic and `capacityTables` for the wording; a test holds docs/CAPACITY.md to them.
 */
import { budgetOf, figuresOf, type SlopesByName } from "./capacityFigures.js";
import { capacityTables, type CapacityTable } from "./capacityTables.js";

export const Capacity = {
  /** The slopes without which the page can't be worked out. */
  needed: [
    ...["connection", "delivery", "subscription", "stream", "ownerKey", "ownerKeyTime", "ownerSnapshot", "lease"],
    ...["leaseTime", "feed", "feedTime", "feedPush", "rollout", "shardRoute", "shardSnapshot", "shardIdle", "member"],
    ...["memberTable", "watchers", "gossip", "gossipYoung", "feedIdle", "leaseIdle", "plan", "planHeap", "planTime"],
    "call",
  ],

  figures: figuresOf,
  budget: budgetOf,
  tables: capacityTables,

  markdown({ columns, rows }: CapacityTable): string {
    const line = (cells: readonly string[]): string => `| ${cells.join(" | ")} |`;
    return [line(columns), line(columns.map(() => "---")), ...rows.map(line)].join("\n");
  },

  /** A page with its tables between their versions as they are now. */
  fill(page: string, slopes: SlopesByName): string {
    return Capacity.tables(slopes).reduce((text, table) => {
      const [open, end] = [`<!-- table ${table.id} -->`, `<!-- end ${table.id} -->`];
      const [from, to] = [text.indexOf(open), text.indexOf(end)];
      if (from < 0 || to < from) throw new Error(`the page has no place for the table ${table.id}`);
      return `${text.slice(0, from + open.length)}\n${Capacity.markdown(table)}\n${text.slice(to)}`;
    }, page);
  },
};
